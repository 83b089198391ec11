package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the project, started as deploy/system.toml says.
type instance struct {
	name      string
	callers   string
	readiness string
	program   []string
	boot      string // path of the settings
	log       *os.File
	process   *exec.Cmd
	ended     chan struct{}
}

// startInstance fills in the settings of deploy/entry.toml and starts the program
// of deploy/system.toml.
func startInstance(root, dir, name, zone, storeAddress string) (*instance, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/entry.toml"))
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, callers: "127.0.0.1:" + ports[0], readiness: "127.0.0.1:" + ports[1]}
	settings := string(template)
	for key, value := range map[string]string{
		"node": name, "zone": zone, "region": "semenanjung", "ipAddress": "127.0.0.1",
		"listenAddresses.frontend": i.callers, "listenAddresses.readiness": i.readiness,
		"internalPortRange.0": ports[2], "internalPortRange.1": ports[3],
		"platform.address": storeAddress, "platform.writesPerS": "400", "platform.readsPerS": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetExtraRetries": "52", "bounds.budgetWindowS": "10", "bounds.graceS": "8",
		"limits.memoryMb": "134", "limits.fileDescriptors": "4200", "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0",
	} {
		settings = strings.ReplaceAll(settings, "{{"+key+"}}", value)
	}
	if strings.Contains(settings, "{{") {
		return nil, fmt.Errorf("deploy/entry.toml has a field that this stand-in does not know:\n%s", settings)
	}
	boot := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(boot, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	program, err := runLine(root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	i.program, i.boot, i.log = program, boot, log
	return i, i.start(root)
}

// start starts the process of the instance.
func (i *instance) start(root string) error {
	p := exec.Command(filepath.Join(root, i.program[0]), i.program[1:]...)
	p.Dir = root
	p.Env = []string{"NUTMEGWIND_BOOT=" + i.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(i.boot)}
	p.Stdout, p.Stderr = i.log, i.log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = p, ended
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	return nil
}

// restart starts the process again with the same settings, once it has ended.
func (i *instance) restart(root string) error {
	<-i.ended
	return i.start(root)
}

// runLine returns the words of the line "run" of deploy/system.toml.
func runLine(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no line run")
}

// ready reports whether the instance answers that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errEnded means that an instance has ended before it was ready, as it does when
// another process has taken one of its ports.
var errEnded = errors.New("the instance has ended")

func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.ready() {
			return nil
		}
		select {
		case <-i.ended:
			text, _ := os.ReadFile(i.log.Name())
			return fmt.Errorf("%w: instance %s: %.600s", errEnded, i.name, text)
		default:
		}
	}
	return fmt.Errorf("instance %s is not ready after %v", i.name, limit)
}

func (i *instance) signal(s syscall.Signal) { _ = i.process.Process.Signal(s) }

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended
}

func freePorts(n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}
