// Package nutmegpermit keeps the requests of all instances to an upstream within the
// rate that the upstream states, and within the rate that is configured for upstreams
// that are cold.
//
// Each upstream's limit has a home among the instances. An instance that knows the
// limit asks the home for a permit before each request to that upstream. Only homes
// count, so that the number of instances does not matter. Instances may disagree for
// a while about which one is the home; each home therefore permits a share of the
// rate that leaves room for the others.
//
// The package does no I/O and starts no goroutines; callers pass the monotonic time
// since an arbitrary start.
//
// # Usage
//
//	homes := nutmegpermit.Homes(process, instances) // the same at all instances
//	granter := nutmegpermit.NewGranter()            // at the home
//	request := nutmegpermit.Request{Process: process, Kind: nutmegpermit.LimitStated, Rate: 2}
//	reply := granter.Ask(request, nutmegpermit.ShareOf(true), now)
//	if !reply.Permitted {
//		// send the request elsewhere; ask again after reply.Wait
//	}
package nutmegpermit

import (
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
)

// LimitKind is the kind of a limit on the requests to a process. If a process has
// limits of both kinds, both hold.
type LimitKind int

// The kinds of limits.
const (
	// LimitStated is a rate that the process states in its answers. It holds over
	// several seconds.
	LimitStated LimitKind = iota
	// LimitWarmup is the rate that is configured for processes that are cold. It holds
	// over each second.
	LimitWarmup
	limitKinds // number of kinds
)

// Request asks for a permit to send one request to a process of an upstream.
type Request struct {
	Process nutmegview.Process
	Kind    LimitKind
	Rate    nutmegnotice.Rate // of the limit, as far as the asker knows
	Age     time.Duration     // since the asker has learned of the limit
	Inform  bool              // asks for no permit; tells the home that the rate has changed
}

// Reply is the home's reply to a Request.
type Reply struct {
	Permitted bool
	Wait      time.Duration // until there may be a permit; only if Permitted is false
}

// Share is what a home permits of the limits of each kind.
type Share [limitKinds]part

// part is the part of a rate that a home permits, and its burst.
type part struct {
	rate      float64 // of the rate of the limit
	burst     float64 // permits that may be used at once
	rateBurst float64 // further ones, per request per second of the limit
}

// ShareOf returns the share of a home. The first one in order gets most of the rate
// if all instances know it; see SettleTime.
func ShareOf(first bool) Share {
	if first {
		return Share{
			LimitStated: {rate: firstRate, burst: firstBurst, rateBurst: firstRateBurst},
			LimitWarmup: {rate: firstWarmupRate, burst: firstBurst, rateBurst: firstWarmupRateBurst},
		}
	}
	return Share{
		LimitStated: {rate: otherRate, burst: otherBurst, rateBurst: otherRateBurst},
		LimitWarmup: {rate: otherWarmupRate, burst: otherBurst, rateBurst: otherWarmupRateBurst},
	}
}

// Homes returns the instances that may be the home of a process's limit, in order of
// preference. A later one is asked while those before it do not answer. Where the first
// ones are in one failure domain, another one follows: the domain may be lost.
func Homes(p nutmegview.Process, instances []*nutmegview.Instance) []*nutmegview.Instance {
	name := func(i *nutmegview.Instance) string { return string(i.Name) }
	ranked := nutmegrendezvous.Rank(string(p), instances, name, len(instances))
	homes := ranked[:min(homeCount, len(ranked))]
	elsewhere := func(i *nutmegview.Instance) bool { return i.FailureDomain != homes[0].FailureDomain }
	if slices.ContainsFunc(homes, elsewhere) {
		return homes
	}
	if next := slices.IndexFunc(ranked, elsewhere); next >= 0 {
		return append(slices.Clip(homes), ranked[next])
	}
	return homes
}
