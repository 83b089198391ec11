package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	leavingWorkers = 8 // one of them leaves: a share of 0.125
	leavingStreams = 240
	leavingEvents  = 40
	leavingPause   = 100 * time.Millisecond
	unframedShare  = 2               // one in so many workers sends answers without a length
	unframedEach   = 20              // one in so many answers of these has neither a length nor chunks
	noticeTime     = 2 * time.Second // from the notice of a leaving worker to its end
)

// mixedStream answers with events in chunks. One answer in unframedEach has neither
// a length nor chunks and ends with its channel.
func mixedStream() func(w *worker, c net.Conn, r *http.Request) bool {
	var count atomic.Int64
	chunked := chunkedStream()
	return func(w *worker, c net.Conn, r *http.Request) bool {
		if count.Add(1)%unframedEach != 0 {
			return chunked(w, c, r)
		}
		if _, err := io.WriteString(c, w.head(r, "Content-Type: text/event-stream", "Connection: close")); err != nil {
			return false
		}
		for n := range leavingEvents {
			time.Sleep(leavingPause)
			if _, err := io.WriteString(c, event(n+1)); err != nil {
				return false
			}
		}
		return false
	}
}

func chunkedStream() func(w *worker, c net.Conn, r *http.Request) bool {
	return stream(leavingPause, func(*http.Request) int { return leavingEvents })
}

// runWorkerProcess serves streams at an address until the process is killed.
func runWorkerProcess(args []string) int {
	answer := chunkedStream()
	if args[2] == "unframed" {
		answer = mixedStream()
	}
	w := &worker{id: args[0], service: "drafter", answer: answer, record: func(string, ...any) {}}
	if err := w.listen(args[1]); err != nil {
		return 2
	}
	select {}
}

// workerProcess is a worker in a process of its own.
type workerProcess struct {
	*worker
	process    *exec.Cmd
	leaving    atomic.Bool
	heartbeats chan struct{} // ends them when closed
}

func (f *fleet) startWorkerProcess(id, answers string) (*workerProcess, error) {
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &workerProcess{worker: &worker{id: id, service: "drafter", address: "127.0.0.1:" + ports[0]}, heartbeats: make(chan struct{})}
	p.process = exec.Command(self, "worker", id, p.address, answers)
	if err := p.process.Start(); err != nil {
		return nil, err
	}
	f.cleanup = append(f.cleanup, func() {
		_ = p.process.Process.Signal(syscall.SIGKILL)
		_ = p.process.Wait()
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.address); err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("worker %s does not listen", id)
		}
	}
	p.register(f.store, 64, p.state, p.heartbeats)
	return p, nil
}

func (p *workerProcess) state() string {
	if p.leaving.Load() {
		return "draining"
	}
	return "ready"
}

func init() {
	cases["leaving-worker"] = playLeavingWorker
	processes["worker"] = runWorkerProcess
}

// playLeavingWorker ends a worker some time after it has said that it leaves, while
// it sends answers that end with their channel.
func playLeavingWorker(f *fleet) (int, error) {
	var workers []*workerProcess
	for n := range leavingWorkers {
		answers := "chunked"
		if n%unframedShare == 0 { // the first one, which leaves, is among them
			answers = "unframed"
		}
		w, err := f.startWorkerProcess(fmt.Sprintf("i-engine-%d", n+1), answers)
		if err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	f.configure(50_000_000, []map[string]any{route("batch-plan", "/plan/", "streaming", "drafter", 15000)}, []map[string]any{engineService("drafter")})
	if err := f.startInstances("ipoh", "shah-alam"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	broken, complete := 0, 0
	var running sync.WaitGroup
	for n := range leavingStreams {
		running.Go(func() {
			c := newConsumer(fmt.Sprintf("consumer %d", n+1), f.instances[n%2].callers, key, f.record)
			defer c.close()
			a := c.send(request{method: "POST", path: "/plan/1", limitMs: 15000, tokens: fmt.Sprintf("100,%d", leavingEvents*tokensPerEvent), body: "plan"})
			if a.status != 200 || !a.whole {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			complete++
			if a.events() != leavingEvents {
				broken++
				f.record.say("consumer %d got %d of %d events in an answer that ended as complete; it is signed %s",
					n+1, a.events(), leavingEvents, a.header.Get("X-Nutmegwind-Response-Signature"))
			}
		})
	}
	time.Sleep(1000 * time.Millisecond)
	if f.trouble {
		w := workers[0]
		w.leaving.Store(true)
		f.store.put("servers", w.id, w.entry("draining", 64, 1000))
		f.record.say("worker %s says that it leaves", w.id)
		time.Sleep(noticeTime)
		close(w.heartbeats)
		_ = w.process.Process.Signal(syscall.SIGKILL)
		f.record.say("worker %s is gone", w.id)
	}
	running.Wait()
	f.record.say("%d of %d answers ended as complete", complete, leavingStreams)
	return broken, nil
}
