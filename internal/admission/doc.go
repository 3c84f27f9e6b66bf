// Package admission rejects requests on arrival that are not expected to be useful even if
// they started immediately, before they use any resources.
//
// It does no I/O; its state is one counter per class and pool and can be lost.
package admission
