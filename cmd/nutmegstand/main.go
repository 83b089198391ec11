// Command nutmegstand serves a stand-in for an external system: the platform, an
// engine, a service or a weight store.
//
// # Usage
//
//	nutmegstand -listen 127.0.0.1:7000 platform
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

const help = `NAME
    nutmegstand - stand-in of the platform, an engine, a service or a weight store

SYNOPSIS
    nutmegstand [OPTIONS] platform|engine|service|weights

DESCRIPTION
    Serves one stand-in over HTTP until SIGTERM or SIGINT. PUT /faults switches
    its faults; GET /records returns what it really did; GET /v1/events returns
    its calls in the form of the time line.

OPTIONS
    -listen ADDR        address, ip:port (default 127.0.0.1:0)
    -name NAME          name of the engine or service
    -token-time TIME    time of one engine step, for example 2ms
    -prefill-time TIME  further time of a step for each prompt token
    -cache N            prefix blocks that an engine's cache holds
    -report-lag TIME    age of an engine's load reports
    -fencing            an engine refuses orders with an old fencing number
    -bytes N            bytes a second that the weight store sends
    -writes N           writes a second that the platform takes; 0: no limit
    -reads N            reads a second that the platform takes; 0: no limit
    -version            print the version and exit
    -h                  print this page

EXIT STATUS
    0  stopped
    1  failed
    2  wrong use

EXAMPLES
    nutmegstand -listen 127.0.0.1:7000 -writes 300 -reads 2000 platform
    nutmegstand -listen 127.0.0.1:7101 -name drafter-1 engine
    curl -X PUT -d '{"outage":true}' http://127.0.0.1:7000/faults
`

type options struct {
	listen          string
	name            string
	tokenTime       time.Duration
	writesPerSecond float64
	readsPerSecond  float64
	prefillTime     time.Duration
	cacheBlocks     int
	reportLag       time.Duration
	fencing         bool
	bytesPerSecond  int64
}

const defaultWeightRate = 1 << 30 // bytes per second

const readHeaderTimeout = 10 * time.Second

func main() {
	var o options
	os.Exit(cli.Main(cli.Program{
		Name: "nutmegstand",
		Help: help,
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&o.listen, "listen", "127.0.0.1:0", "address")
			f.StringVar(&o.name, "name", "stand-in", "name")
			f.DurationVar(&o.tokenTime, "token-time", nutmegstand.DefaultTokenTime, "time of one engine step")
			f.DurationVar(&o.prefillTime, "prefill-time", 0, "time of a prompt token")
			f.IntVar(&o.cacheBlocks, "cache", 0, "prefix blocks of the cache")
			f.DurationVar(&o.reportLag, "report-lag", 0, "age of load reports")
			f.BoolVar(&o.fencing, "fencing", false, "refuse old fencing numbers")
			f.Int64Var(&o.bytesPerSecond, "bytes", defaultWeightRate, "bytes a second")
			f.Float64Var(&o.writesPerSecond, "writes", 0, "writes a second")
			f.Float64Var(&o.readsPerSecond, "reads", 0, "reads a second")
		},
		Run: func(ctx context.Context, args []string, out io.Writer) error {
			return run(ctx, o, args, out)
		},
	}))
}

func run(ctx context.Context, o options, args []string, out io.Writer) error {
	if len(args) != 1 {
		return cli.Usagef("expected one stand-in, got %d arguments; name platform, engine, service or weights", len(args))
	}
	handler, stop, err := newHandler(o, args[0])
	if err != nil {
		return err
	}
	defer stop()
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", o.listen, err)
	}
	_, _ = fmt.Fprintf(out, "%s %s\n", args[0], l.Addr())
	handler = nutmegstand.WithEvents(o.name, eventKinds[args[0]], handler)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopWatching := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopWatching()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// eventKinds maps each stand-in to the kind of event recorded for its calls.
var eventKinds = map[string]nutmegtime.Kind{
	"platform": nutmegtime.KindObjectCall,
	"engine":   nutmegtime.KindEngineCall,
	"service":  nutmegtime.KindServiceCall,
	"weights":  nutmegtime.KindServiceCall,
}

// newHandler creates a stand-in and returns its handler and a function that
// stops it.
func newHandler(o options, kind string) (http.Handler, func(), error) {
	switch kind {
	case "platform":
		p := nutmegstand.NewPlatform(nutmegstand.PlatformConfig{WritesPerSecond: o.writesPerSecond, ReadsPerSecond: o.readsPerSecond})
		return p.Handler(), func() {}, nil
	case "engine":
		e := nutmegstand.NewEngine(nutmegstand.EngineConfig{
			Name: o.name, TokenTime: o.tokenTime, PrefillTime: o.prefillTime, CacheBlocks: o.cacheBlocks,
			ReportLag: o.reportLag, Fencing: o.fencing,
		})
		return e.Handler(), e.Close, nil
	case "weights":
		return nutmegstand.NewWeightStore(nutmegstand.WeightStoreConfig{BytesPerSecond: o.bytesPerSecond}).Handler(), func() {}, nil
	case "service":
		return nutmegstand.NewService(nutmegstand.ServiceConfig{Name: o.name}).Handler(), func() {}, nil
	}
	return nil, nil, cli.Usagef("unknown stand-in %q; use platform, engine, service or weights", kind)
}
