package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Machine is what the platform says of a machine in its settings.
type Machine struct {
	Name     string
	Zone     string
	MemoryMB int
}

// Instance is a running entry instance.
type Instance struct {
	Machine
	Callers   string // address for consumers
	Readiness string

	process  *os.Process
	ended    chan struct{}
	stopping atomic.Bool
	overrun  atomic.Bool // ended by the platform for its memory
	peakKB   atomic.Int64
}

// Program is what the deploy file runs; the folder is that of the project.
const Program = "target/nutmegwind"

// Start starts an instance with the command and the template of the deploy file.
func Start(project, scratch, store string, m Machine) (*Instance, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	i := &Instance{Machine: m, Callers: loopback(ports[0]), Readiness: loopback(ports[1]), ended: make(chan struct{})}
	template, err := os.ReadFile(filepath.Join(project, "deploy", "entry.toml"))
	if err != nil {
		return nil, err
	}
	settings := render(string(template), map[string]string{
		"node": m.Name, "zone": m.Zone, "region": "semenanjung",
		"listenAddresses.frontend": i.Callers, "listenAddresses.readiness": i.Readiness,
		"ipAddress": "127.0.0.1", "internalPortRange.0": strconv.Itoa(ports[2]), "internalPortRange.1": strconv.Itoa(ports[3]),
		"platform.address": store, "platform.writesPerS": "400", "platform.readsPerS": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetExtraRetries": "52", "bounds.budgetWindowS": "10",
		"limits.memoryMb": strconv.Itoa(m.MemoryMB), "limits.fileDescriptors": "4200", "bounds.graceS": "8",
		"limits.cpuShare": "0.4", "limits.linkMbps": "1000.0",
	}, []string{"shah-alam", "ipoh", "johor-bahru"})
	file := filepath.Join(scratch, m.Name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(scratch, m.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(project, Program))
	cmd.Dir = project
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + scratch, "NUTMEGWIND_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	i.process = cmd.Process
	go func() {
		_ = cmd.Wait()
		close(i.ended)
	}()
	return i, nil
}

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// freePorts returns ports that were free a moment ago.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// render fills in a settings template as far as deploy/entry.toml needs it.
func render(text string, values map[string]string, zones []string) string {
	section := func(name, body string) {
		open, end := "{{#"+name+"}}", "{{/"+name+"}}"
		from, to := strings.Index(text, open), strings.Index(text, end)
		if from >= 0 && to >= 0 {
			inner := ""
			if body != "" {
				for _, z := range zones {
					inner += strings.NewReplacer("{{@}}", z, "{{.}}", body).Replace(text[from+len(open) : to])
				}
			}
			text = text[:from] + inner + text[to+len(end):]
		}
	}
	section("bounds.evacuationMs", "")
	section("zones", "semenanjung")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + i.Readiness + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", i.Name, limit)
}

// WatchMemory ends the instance with SIGKILL once it takes more memory than its machine
// has, as the platform does.
func (i *Instance) WatchMemory() {
	for {
		select {
		case <-i.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb, err := residentKB(i.process.Pid)
		if err != nil {
			continue
		}
		i.peakKB.Store(max(i.peakKB.Load(), kb))
		if kb > int64(i.MemoryMB)<<10 && !i.stopping.Load() {
			i.overrun.Store(true)
			_ = i.process.Kill()
			return
		}
	}
}

var errNoResident = errors.New("no resident size")

func residentKB(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
		}
	}
	return 0, errNoResident
}

// Overrun reports whether the platform has ended the instance for its memory.
func (i *Instance) Overrun() bool {
	return i.overrun.Load()
}

// PeakKB returns the most memory that WatchMemory has seen.
func (i *Instance) PeakKB() int64 {
	return i.peakKB.Load()
}

// Ended reports whether the process has ended.
func (i *Instance) Ended() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// Stop ends the instance.
func (i *Instance) Stop() {
	i.stopping.Store(true)
	_ = i.process.Kill()
	<-i.ended
}
