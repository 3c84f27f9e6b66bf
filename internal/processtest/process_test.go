package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// process is one that a script started. Its output goes to a file, so that
// nobody has to read it for the process to go on.
type process struct {
	command *exec.Cmd
	output  string
	// ended is closed once the process is gone; code is set before that.
	ended chan struct{}
	code  int
}

// startProcess starts program with its output in dir/name.log, which is begun
// anew.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	output := filepath.Join(dir, name+".log")
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	command := exec.Command(program, args...)
	command.Dir = dir
	command.Stdout, command.Stderr = file, file
	// The kernel ends it where the test program dies before it could.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{command: command, output: output, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // The exit code says all of it.
		p.code = command.ProcessState.ExitCode()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// kill ends the process at once and returns when it is gone.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitExit waits for the process to end by itself.
func (p *process) waitExit(limit time.Duration) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %s", filepath.Base(p.output), limit)
	}
}

// hasLine says whether the output matches.
func (p *process) hasLine(pattern *regexp.Regexp) bool {
	data, err := os.ReadFile(p.output)
	return err == nil && pattern.Match(data)
}
