package integration

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// stopTimeout bounds how long a process that was told to stop may take.
const stopTimeout = 30 * time.Second

// binary is the program under test, built by TestMain, with the race detector except for benchmarks.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "comfreybend-integration-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "comfreybend")
	flag.Parse()
	arguments := []string{"build", "-o", binary}
	if flag.Lookup("test.bench").Value.String() == "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "../../cmd/comfreybend")...)
	build.Stderr = os.Stderr
	if err = build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running program.
type process struct {
	t       testing.TB
	name    string
	args    []string
	logPath string
	command *exec.Cmd
	exited  chan struct{}
}

// startProcess runs the program until the test ends; its log is shown if the test fails.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: args, logPath: filepath.Join(t.TempDir(), name+".log")}
	p.start()
	t.Cleanup(func() {
		p.kill()
		p.checkLog()
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command(binary, p.args...)
	p.command.Stdout = log
	p.command.Stderr = log
	if err = p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	_ = log.Close()
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// freeze stops the process as it is until thaw.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate asks for a graceful shutdown and waits for its end.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitExit()
}

func (p *process) awaitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s did not stop within %v", p.name, stopTimeout)
	}
}

func (p *process) log() []byte {
	data, _ := os.ReadFile(p.logPath)
	return data
}

// awaitLogLine waits for a line of the log that has a message and a request's id,
// or any id if that is empty, and returns the id.
func (p *process) awaitLogLine(message, id string) string {
	p.t.Helper()
	eventually(p.t, waitTimeout, func() error {
		for line := range bytes.Lines(p.log()) {
			var l struct{ Msg, RequestID string }
			if json.Unmarshal(line, &l) == nil && l.Msg == message && l.RequestID != "" && (id == "" || l.RequestID == id) {
				id = l.RequestID
				return nil
			}
		}
		return fmt.Errorf("%s has no line %q with the id %q", p.name, message, id)
	})
	return id
}

// checkLog fails the test on data races and panics, and shows the log of a failed test.
func (p *process) checkLog() {
	log := p.log()
	for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
		if bytes.Contains(log, []byte(sign)) {
			p.t.Errorf("%s: %q in the log", p.name, sign)
		}
	}
	if p.t.Failed() {
		const shown = 6000
		p.t.Logf("log of %s:\n%s", p.name, log[max(0, len(log)-shown):])
	}
}
