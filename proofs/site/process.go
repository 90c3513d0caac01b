package site

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Process is one started program. Done is closed after its end.
type Process struct {
	t      T
	name   string
	Cmd    *exec.Cmd
	Output *os.File
	Done   chan struct{}
}

// StartProcess starts the program args[0] of ../bin with the other arguments, and kills it when t ends. Its output goes to
// the file name.out in dir.
func StartProcess(t T, dir, name string, args ...string) *Process {
	t.Helper()
	out, err := os.Create(filepath.Join(dir, name+".out"))
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{t: t, name: name, Cmd: exec.Command("../bin/"+args[0], args[1:]...), Output: out, Done: make(chan struct{})}
	p.Cmd.Stdout, p.Cmd.Stderr = out, out
	// The kernel kills the process if the test run is killed and cannot clean up.
	p.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.Done)
		_ = p.Cmd.Wait()
	}()
	t.Cleanup(func() {
		p.Kill()
		_ = out.Close()
		if t.Failed() {
			p.logOutputTail()
		}
	})
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) { _ = p.Cmd.Process.Signal(sig) }

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

// logOutputTail logs the last lines that the process wrote.
func (p *Process) logOutputTail() {
	data, _ := os.ReadFile(p.Output.Name())
	if lines := bytes.Split(data, []byte("\n")); len(lines) > 40 {
		data = bytes.Join(lines[len(lines)-40:], []byte("\n"))
	}
	p.t.Logf("last output of %s:\n%s", p.name, data)
}
