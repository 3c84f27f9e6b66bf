package explain

import "strings"

// maxText bounds a text that comes from outside, in bytes.
const maxText = 256

// cut bounds a text. The result does not keep the rest in memory.
func cut(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxText]), "") + "..."
}
