package integration

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// stopTimeout bounds the time until a process that was told to stop has exited.
	stopTimeout = 30 * time.Second
	// logFolderVariable names a folder in which the whole logs of failed tests are kept.
	logFolderVariable = "TEST_LOGS"
)

// binary is the program under test. TestMain builds it, with the race detector unless benchmarks are run.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "comfreybend-integration-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "comfreybend")
	flag.Parse()
	if err = build("../..", binary); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build builds the program from the sources in a folder.
func build(folder, output string) error {
	arguments := []string{"build", "-o", output}
	if flag.Lookup("test.bench").Value.String() == "" {
		arguments = append(arguments, "-race")
	}
	command := exec.Command("go", append(arguments, "./cmd/comfreybend")...)
	command.Dir, command.Stderr = folder, os.Stderr
	return command.Run()
}

// process is a running instance of the program.
type process struct {
	t    testing.TB
	name string
	// program is the program that start starts.
	program string
	args    []string
	logPath string

	// mu guards the fields below, which start replaces.
	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the command has ended.
	exited chan struct{}
}

// startProcess starts the program and kills it at the end of the test.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := newProcess(t, binary, name, args...)
	p.start()
	return p
}

// newProcess returns a process of a program that is not started yet. It is killed at the end of the
// test. The log is shown if the test fails.
func newProcess(t testing.TB, program, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, program: program, args: args, logPath: filepath.Join(t.TempDir(), name+".log")}
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
	command := exec.Command(p.program, p.args...)
	command.Stdout = log
	command.Stderr = log
	if err = command.Start(); err != nil {
		p.t.Fatal(err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = command, exited
}

// current returns the command that was started last, and the channel that is closed when it
// has ended. A fault may look at a process while another one restarts it.
func (p *process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.exited
}

func (p *process) signal(s syscall.Signal) {
	command, _ := p.current()
	_ = command.Process.Signal(s)
}

// hasExited returns the channel that is closed when the process has ended.
func (p *process) hasExited() <-chan struct{} {
	_, exited := p.current()
	return exited
}

func (p *process) pid() string {
	command, _ := p.current()
	return strconv.Itoa(command.Process.Pid)
}

// freeze suspends the process with SIGSTOP until thaw is called.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.hasExited()
}

// terminate requests a graceful shutdown and waits until the process has exited.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitExit()
}

func (p *process) awaitExit() {
	p.t.Helper()
	select {
	case <-p.hasExited():
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s did not stop within %v", p.name, stopTimeout)
	}
}

func (p *process) log() []byte {
	data, _ := os.ReadFile(p.logPath)
	return data
}

// awaitLogLine waits for a log line with a message and a request ID, and returns
// the ID. An empty id matches any request.
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
		return fmt.Errorf("%s has not logged %q with the request ID %q", p.name, message, id)
	})
	return id
}

// checkLog fails the test if the log shows a data race or a panic, and prints the end of the log of a failed test.
// The whole log is kept if there is a folder for it.
func (p *process) checkLog() {
	log := p.log()
	for _, marker := range []string{"DATA RACE", "panic: ", "fatal error: "} {
		if bytes.Contains(log, []byte(marker)) {
			p.t.Errorf("%s: %q in the log", p.name, marker)
		}
	}
	if p.t.Failed() {
		const maxBytes = 6000
		p.t.Logf("log of %s:\n%s", p.name, log[max(0, len(log)-maxBytes):])
		p.keepLog(log)
	}
}

func (p *process) keepLog(log []byte) {
	folder := os.Getenv(logFolderVariable)
	if folder == "" {
		return
	}
	name := strings.ReplaceAll(p.t.Name(), "/", "-") + "-" + p.name + ".log"
	if err := os.WriteFile(filepath.Join(folder, name), log, 0o600); err != nil {
		p.t.Logf("keeping the log of %s: %v", p.name, err)
	}
}
