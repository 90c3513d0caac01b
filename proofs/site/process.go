package site

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Process is one running program.
type Process struct {
	t    T
	name string
	Cmd  *exec.Cmd
	Out  *os.File
	Done chan struct{}
}

// StartProcess starts one of the built programs, which ends with t.
func StartProcess(t T, dir, name string, args ...string) *Process {
	t.Helper()
	out, err := os.Create(filepath.Join(dir, name+".out"))
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{t: t, name: name, Cmd: exec.Command("../bin/"+args[0], args[1:]...), Out: out, Done: make(chan struct{})}
	p.Cmd.Stdout, p.Cmd.Stderr = out, out
	// Ends the process with a test run that is killed and cannot clean up.
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
			p.dump()
		}
	})
	return p
}

// Signal sends a signal.
func (p *Process) Signal(sig syscall.Signal) { _ = p.Cmd.Process.Signal(sig) }

// Kill ends the process and waits.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

func (p *Process) dump() {
	data, _ := os.ReadFile(p.Out.Name())
	if lines := bytes.Split(data, []byte("\n")); len(lines) > 40 {
		data = bytes.Join(lines[len(lines)-40:], []byte("\n"))
	}
	p.t.Logf("last output of %s:\n%s", p.name, data)
}
