package nutmegpermit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// statedBound is for an upstream that states a rate limit, coldBound for a cold one.
var (
	statedBound = bound{window: window, factor: 1.5, allowance: 5}
	coldBound   = bound{window: time.Second, factor: 1.5, allowance: 5}
)

const (
	window    = 4 * time.Second        // of statedBound
	settling  = 3 * time.Second        // from the first answer that states the limit
	toldDelay = 500 * time.Millisecond // until an instance is bound by an answer that it has had
	// usedShare is the least share of a limit that is used while callers are refused,
	// without disturbances.
	usedShare = 0.8
)

// The simulated network and fleet.
const (
	modelLength   = 90 * time.Second // unless cold upstreams are played
	coldLength    = 50 * time.Second
	messageTime   = 10 * time.Millisecond // the longest time of a message
	messageLoss   = 0.02
	callTimeout   = 250 * time.Millisecond
	runTime       = 300 * time.Millisecond // the longest time of a request at an upstream
	refreshTime   = 15 * time.Second       // between two reads of the list of instances
	refreshRetry  = 3 * time.Second        // after a read that failed
	staleRead     = 2 * time.Second        // by which a list is out of date when it is read
	divideAt      = 5 * time.Second
	storeCutTime  = time.Minute            // the longest time for which an instance does not reach the store
	lateArrival   = 600 * time.Millisecond // of one request in a hundred
	unanswered    = 500 * time.Millisecond // hold of an upstream whose home has not answered
	skipTime      = 3 * time.Second        // of a home that has failed
	maxAsks       = 6                      // upstreams that a request asks for
	disturbance   = 4 * time.Second        // mean time between two
	freezeTime    = 5 * time.Second
	excusedAfter  = window + time.Second // of a disturbed instance, from its end
	changeOfLimit = 20 * time.Second     // mean time between two, of one upstream
	spreadTime    = 3 * time.Second      // the longest time until an instance learns of a limit from others
	coldTime      = 3 * time.Second      // of an upstream
	coldInterval  = 9 * time.Second      // mean time between two cold times of one upstream
	allColdAt     = 40 * time.Second     // when all upstreams turn cold at once
)

// bound is the users' bound on requests to an upstream with a limit.
type bound struct {
	window    time.Duration
	factor    float64 // times what the limit allows in a window
	allowance float64 // further requests in a window
}

// modelConfig describes a fleet and its load.
type modelConfig struct {
	seed      uint64
	instances int
	limits    []float64 // of the upstreams, in requests per second; 0 for none
	rate      float64   // requests per second at all instances together
	disturbed bool
	changing  bool // limits change and end
	alone     bool // each instance counts for itself
	divided   bool // instances join while half of the others do not reach the store
	spread    bool // instances tell each other of limits; all requests count, whoever sends them
	cold      bool // the limits hold for cold upstreams only, which state nothing
	overstate bool // instances take the limits for three times as high
}

func (c modelConfig) length() time.Duration {
	if c.cold {
		return coldLength
	}
	return modelLength
}

func (c modelConfig) bound() bound {
	if c.cold {
		return coldBound
	}
	return statedBound
}

// modelResult counts what happened.
type modelResult struct {
	excess   float64 // most arrivals in a window beyond the bound
	upstream int     // where
	at       time.Duration
	used     float64 // share of all limits that was used
	refused  int
	asked    int // calls between instances
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// model is a fleet with messages and upstreams, in simulated time.
type model struct {
	cfg       modelConfig
	random    *rand.Rand
	now       time.Duration
	queue     eventQueue
	instances []*modelInstance
	upstreams []*modelUpstream
	result    modelResult
}

type modelInstance struct {
	entry     *nutmegview.Instance
	view      []*nutmegview.Instance
	homes     map[nutmegview.Process][]*nutmegview.Instance // by view
	granter   *Granter
	notices   *nutmegnotice.Tracker
	startedAt time.Duration // also tells one process from the next
	joinedAt  time.Duration // first start under this name
	listedAt  time.Duration // when view was read
	storeCut  time.Duration // until when it does not reach the store
	frozen    time.Duration // until when it answers nobody
	excused   time.Duration // until when its requests do not count
	holds     map[int]time.Duration
	skips     map[nutmegid.Instance]time.Duration
	told      map[int]time.Duration // first answer that states a limit, by upstream
}

type modelUpstream struct {
	number   int
	entry    nutmegview.Upstream
	limit    float64
	first    time.Duration // first answer that states a limit; negative before
	arrivals []time.Duration
	limits   []limitSpan
	served   int
	coldFrom time.Duration // start of the latest cold time
	coldTo   time.Duration // its end; zero if there was none
}

// limitSpan is a limit from some time on.
type limitSpan struct {
	from  time.Duration
	limit float64
}

func newModel(cfg modelConfig) *model {
	m := &model{cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 2))}
	for n, limit := range cfg.limits {
		u := &modelUpstream{number: n, entry: nutmegview.Upstream{ID: nutmegid.Upstream(fmt.Sprint("u", n)), StartedAt: time.Unix(1, 0)}, limit: limit, first: -1}
		u.limits = []limitSpan{{0, limit}}
		m.upstreams = append(m.upstreams, u)
	}
	for range cfg.instances {
		m.addInstance(-SettleTime - staleRead)
	}
	for _, i := range m.instances {
		i.view = m.entries()
	}
	return m
}

// entries returns the list of instances as one reads it now.
func (m *model) entries() []*nutmegview.Instance {
	var all []*nutmegview.Instance
	for _, i := range m.instances {
		if i.joinedAt <= m.now-staleRead {
			all = append(all, i.entry)
		}
	}
	return all
}

// refresh reads the list of instances, and later again.
func (m *model) refresh(i *modelInstance) {
	if m.now < i.storeCut {
		m.after(refreshRetry, func() { m.refresh(i) })
		return
	}
	i.view = m.entries()
	i.listedAt = m.now
	if !slices.Contains(i.view, i.entry) {
		i.view = append(i.view, i.entry)
	}
	clear(i.homes)
	m.after(refreshTime, func() { m.refresh(i) })
}

func (m *model) addInstance(startedAt time.Duration) {
	i := &modelInstance{entry: &nutmegview.Instance{Name: nutmegid.Instance(fmt.Sprint("i", len(m.instances)))}, joinedAt: startedAt}
	m.instances = append(m.instances, i)
	m.start(i, startedAt)
	m.after(m.jitter(refreshTime), func() { m.refresh(i) })
}

// start starts a new process of an instance, which knows only the members.
func (m *model) start(i *modelInstance, at time.Duration) {
	*i = modelInstance{
		entry: i.entry, joinedAt: i.joinedAt, view: m.entries(), listedAt: m.now, granter: NewGranter(), notices: m.newNotices(i), startedAt: at,
		homes: make(map[nutmegview.Process][]*nutmegview.Instance), holds: make(map[int]time.Duration), skips: make(map[nutmegid.Instance]time.Duration), told: make(map[int]time.Duration),
	}
}

// newNotices returns the tracker of an instance, which tells all others of limits.
func (m *model) newNotices(i *modelInstance) *nutmegnotice.Tracker {
	return nutmegnotice.NewTracker(nutmegnotice.Config{OnChange: func(c nutmegnotice.Change) {
		if c.Kind == nutmegnotice.ChangeMoved {
			m.ask(i, Request{Process: c.Process, Rate: c.After, Inform: true}, func(Reply) {})
		}
	}, OnStatement: func(s nutmegnotice.Statement) {
		heardAt := m.now
		for _, other := range m.instances {
			if m.cfg.spread && other != i && m.random.Float64() >= messageLoss {
				m.after(m.jitter(spreadTime), func() { other.notices.Merge(s, m.now-heardAt, m.now) })
			}
		}
	}})
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.queue, event{at: m.now + d, do: do})
}

func (m *model) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// exponential returns a random time with the given mean.
func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

func (m *model) run() modelResult {
	m.after(0, m.arrive)
	if m.cfg.disturbed {
		m.after(m.exponential(disturbance), m.disturb)
	}
	if m.cfg.divided {
		m.after(divideAt, m.divide)
	}
	if m.cfg.cold {
		m.after(allColdAt, m.coolAll)
		for _, u := range m.upstreams {
			m.after(m.exponential(coldInterval), func() { m.coolAgain(u) })
		}
	}
	if m.cfg.changing {
		for _, u := range m.upstreams {
			m.after(m.exponential(changeOfLimit), func() { m.changeLimit(u) })
		}
	}
	for m.queue.Len() > 0 {
		e, _ := heap.Pop(&m.queue).(event)
		if e.at > m.cfg.length() {
			break
		}
		m.now = e.at
		e.do()
	}
	m.judge()
	return m.result
}

// arrive lets a request arrive at a random instance, and the next one later.
func (m *model) arrive() {
	m.after(m.exponential(time.Duration(float64(time.Second)/m.cfg.rate)), m.arrive)
	if i := m.instances[m.random.IntN(len(m.instances))]; m.now >= i.frozen {
		m.place(i, nil)
	}
}

// place picks an upstream for a request and asks for a permit, if one is needed.
func (m *model) place(i *modelInstance, tried []int) {
	var usable []*modelUpstream
	for _, u := range m.upstreams {
		if i.holds[u.number] <= m.now && !slices.Contains(tried, u.number) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 || len(tried) == maxAsks {
		m.result.refused++
		return
	}
	u := usable[m.random.IntN(len(usable))]
	request, limited := m.request(i, u)
	if !limited {
		m.send(i, u)
		return
	}
	tried = append(slices.Clone(tried), u.number)
	m.ask(i, request, func(r Reply) {
		if r.Permitted {
			m.send(i, u)
			return
		}
		i.holds[u.number] = m.now + r.Wait
		m.place(i, tried)
	})
}

// request returns the question for a permit, and false if the instance knows no limit.
func (m *model) request(i *modelInstance, u *modelUpstream) (Request, bool) {
	process := u.entry.Process()
	if m.cfg.cold {
		told, known := i.told[u.number]
		rate := nutmegnotice.Rate(u.limit)
		if m.cfg.overstate {
			rate *= 3
		}
		return Request{Process: process, Kind: LimitWarmup, Rate: rate, Age: m.now - told}, known && m.now < u.coldTo
	}
	limit, limited := i.notices.RateLimit(u.entry)
	return Request{Process: process, Rate: limit.Rate, Age: m.now - limit.HeardAt}, limited
}

// ask asks the home of an upstream's limit.
func (m *model) ask(i *modelInstance, r Request, done func(Reply)) {
	home := m.home(i, r.Process)
	if home == nil {
		done(Reply{Wait: unanswered})
		return
	}
	if home == i {
		done(home.grant(r, m.now))
		return
	}
	m.result.asked++
	asker := i.startedAt
	answered := false
	finish := func(reply Reply) {
		if !answered && i.startedAt == asker {
			answered = true
			done(reply)
		}
	}
	m.after(callTimeout, func() {
		if !answered {
			i.skips[home.entry.Name] = m.now + skipTime
		}
		finish(Reply{Wait: unanswered})
	})
	if m.random.Float64() < messageLoss {
		return
	}
	m.after(m.jitter(messageTime), func() {
		if m.now < home.frozen || m.now < i.frozen {
			return
		}
		reply := home.grant(r, m.now)
		if m.random.Float64() >= messageLoss {
			m.after(m.jitter(messageTime), func() { finish(reply) })
		}
	})
}

// home returns the instance that i takes for the home of a process's limit, nil if
// none answers.
func (m *model) home(i *modelInstance, p nutmegview.Process) *modelInstance {
	if m.cfg.alone {
		return i
	}
	for _, entry := range i.homesOf(p) {
		if i.skips[entry.Name] > m.now {
			continue
		}
		for _, other := range m.instances {
			if other.entry == entry {
				return other
			}
		}
	}
	return nil
}

func (i *modelInstance) homesOf(p nutmegview.Process) []*nutmegview.Instance {
	homes, ok := i.homes[p]
	if !ok {
		homes = Homes(p, i.view)
		i.homes[p] = homes
	}
	return homes
}

func (i *modelInstance) grant(r Request, now time.Duration) Reply {
	known := now-i.joinedAt >= SettleTime && now-i.listedAt <= MaxListAge
	first := known && i.homesOf(r.Process)[0] == i.entry
	return i.granter.Ask(r, ShareOf(first), now)
}

// send sends a request. It arrives and is answered later.
func (m *model) send(i *modelInstance, u *modelUpstream) {
	delay := m.jitter(messageTime)
	if m.random.IntN(100) == 0 {
		delay += m.jitter(lateArrival)
	}
	asker := i.startedAt
	sentAt := m.now
	m.after(delay, func() {
		if m.counts(i, u, sentAt) {
			u.arrivals = append(u.arrivals, m.now)
		}
		u.served++
		limit := u.limit
		m.after(m.jitter(runTime), func() {
			if i.startedAt == asker {
				m.answer(i, u, limit)
			}
		})
	})
}

// counts reports whether a request that arrives now counts.
func (m *model) counts(i *modelInstance, u *modelUpstream, sentAt time.Duration) bool {
	if m.cfg.cold {
		told, known := i.told[u.number]
		return known && sentAt >= told && m.now < u.coldTo
	}
	if u.first < 0 || m.now-u.first < settling {
		return false
	}
	if m.cfg.spread {
		return m.now-u.first >= settling+spreadTime
	}
	told, known := i.told[u.number]
	return known && m.now-told >= toldDelay && m.now >= i.excused
}

func (m *model) answer(i *modelInstance, u *modelUpstream, limit float64) {
	n := nutmegnotice.Notice{Success: true}
	if m.cfg.cold {
		return
	}
	if limit > 0 {
		rate := nutmegnotice.Rate(limit)
		n.RateLimit = &rate
		if u.first < 0 {
			u.first = m.now
		}
		if _, known := i.told[u.number]; !known {
			i.told[u.number] = m.now
		}
	} else {
		delete(i.told, u.number)
	}
	i.notices.Record(u.entry, "", n, m.now)
}
