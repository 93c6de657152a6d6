//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["parts-after-restart"] = playPartsAfterRestart }

// Figures of the routes over all shards.
const (
	shardCount  = 20
	topRecords  = 5
	leastShare  = 0.75
	recordBytes = 16
	partRecords = 12
)

// records returns the records of a leaf of a service for a request, in no order.
func records(service, id string) []byte {
	var raw []byte
	for n := range partRecords {
		sum := sha256.Sum256([]byte(service + " " + id + " " + strconv.Itoa(n)))
		raw = append(raw, sum[:recordBytes]...)
	}
	return raw
}

// checkMerged returns what is wrong with a success to a query over shards; empty if nothing is.
func checkMerged(leafs []*leaf, id string, a answer) string {
	var all [][]byte
	services := make(map[string]bool)
	for _, line := range a.header.Values("X-Part-Stamps") {
		for stamp := range strings.SplitSeq(line, ",") {
			stamp = strings.TrimSpace(stamp)
			n := slices.IndexFunc(leafs, func(f *leaf) bool { return f.signed(id, stamp) })
			if n < 0 {
				return fmt.Sprintf("part %q is no answer to this request", stamp)
			}
			if services[leafs[n].service] {
				return fmt.Sprintf("two parts of service %s", leafs[n].service)
			}
			services[leafs[n].service] = true
			raw := records(leafs[n].service, id)
			for ; len(raw) >= recordBytes; raw = raw[recordBytes:] {
				all = append(all, raw[:recordBytes])
			}
		}
	}
	missing := 0
	if text := a.header.Get("X-Missing-Parts"); text != "" {
		var err error
		if missing, err = strconv.Atoi(text); err != nil {
			return "X-Missing-Parts is no number"
		}
	}
	if len(services)+missing != shardCount {
		return fmt.Sprintf("%d parts and %d missing ones of %d", len(services), missing, shardCount)
	}
	if float64(len(services)) < leastShare*shardCount {
		return fmt.Sprintf("only %d parts", len(services))
	}
	slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
	if greatest := bytes.Join(all[:min(topRecords, len(all))], nil); !bytes.Equal(greatest, a.body) {
		return "the body is not the greatest records of the parts named"
	}
	return ""
}

// sharded is a deployment with shards in zone east, and one machine in each of the zones west and east.
type sharded struct {
	west, east *instance
	// links are the links in front of both machines, through which they reach each other.
	links []*link
	leafs []*leaf
}

// startSharded starts the leafs and the machines.
func (w *world) startSharded(leafsPerService, timeoutMs, objectiveMs int) (*sharded, error) {
	d := &sharded{}
	var names []string
	for n := range shardCount {
		name := fmt.Sprintf("huvo%02da", n)
		names = append(names, name)
		for k := range leafsPerService {
			f, err := w.newLeaf(fmt.Sprintf("i-%02d%d", n, k), name, "east", 2, 12)
			if err != nil {
				return nil, err
			}
			f.body = func(id string) []byte { return records(name, id) }
			f.register("ready", 1)
			d.leafs = append(d.leafs, f)
		}
	}
	w.putConfig(7, []map[string]any{{
		"name": "r-uu3i6yn", "host": host, "prefix": "/bapu561/", "route_type": "idempotent", "timeout_ms": timeoutMs, "target_latency_ms": objectiveMs,
		"priority": 1, "gather": names, "max_attempts": 2, "top_k": topRecords, "min_version": leastShare,
	}}, names, 25)
	return d, d.startMachines(w)
}

func (d *sharded) startMachines(w *world) error {
	machines := []**instance{&d.west, &d.east}
	for n, zone := range []string{"west", "east"} {
		i, err := w.newInstance("edge-"+zone+"-1", zone)
		if err != nil {
			return err
		}
		l, err := newLink(i.control)
		if err != nil {
			return err
		}
		*machines[n], d.links = i, append(d.links, l)
	}
	if err := d.west.writeSettings([]string{d.west.control, d.links[1].address()}); err != nil {
		return err
	}
	if err := d.east.writeSettings([]string{d.east.control, d.links[0].address()}); err != nil {
		return err
	}
	for _, i := range machines {
		if err := (*i).run(); err != nil {
			return err
		}
	}
	for _, i := range machines {
		if err := (*i).waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// playPartsAfterRestart: a third of the leafs is slow. A machine that has just begun to take queries loses power while some of
// their parts are under way, and is back within a second. Rule MIXED: a success holds parts of this request only, and its
// body is made of them.
func playPartsAfterRestart(w *world) ([]string, error) {
	const rounds = 4
	d, err := w.startSharded(3, 2500, 150)
	if err != nil {
		return nil, err
	}
	for n, f := range d.leafs {
		f.work = func() time.Duration {
			work := time.Duration(100+rand.IntN(50)) * time.Millisecond
			if w.trouble && n%3 == 0 {
				work *= slowFactor
			}
			return work
		}
	}
	q := &querier{world: w, front: d.west.front, leafs: d.leafs}
	for range rounds {
		// The machines know each other before the first clients come.
		time.Sleep(4 * time.Second)
		if err := q.playPowerLoss(d.west, d.links...); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
		if !w.trouble {
			continue
		}
		// The next round begins with a new process as well.
		d.west.kill()
		if err := d.west.runReady(); err != nil {
			return nil, err
		}
	}
	w.logf("%d queries served", q.served)
	if q.served == 0 {
		return nil, fmt.Errorf("no query was served")
	}
	return q.violations, nil
}

// runReady starts the process of the machine and waits until it is ready.
func (i *instance) runReady() error {
	if err := i.run(); err != nil {
		return err
	}
	return i.waitReady(5 * time.Second)
}

// Figures of the disruptions of playPartsAfterRestart.
const (
	// slowFactor is how many times as long a slow leaf takes.
	slowFactor = 12
	// darkTime is how long the machine has no power.
	darkTime = 400 * time.Millisecond
	// powerLossAfter and secondWaveAfter count from the first query.
	powerLossAfter  = 350 * time.Millisecond
	secondWaveAfter = 1200 * time.Millisecond
	waveQueries     = 2
)

// querier sends queries over all shards and checks their answers.
type querier struct {
	world *world
	front string
	leafs []*leaf

	mu         sync.Mutex
	sent       int
	served     int
	violations []string
}

// playPowerLoss sends some queries, cuts the power of the machine that serves them, and sends some more when it is back.
func (q *querier) playPowerLoss(west *instance, links ...*link) error {
	var clients sync.WaitGroup
	began := time.Now()
	q.sendWave(&clients)
	time.Sleep(time.Until(began.Add(powerLossAfter)))
	if q.world.trouble {
		q.world.logf("machine %s: loses power", west.name)
		for _, l := range links {
			l.cutPower()
		}
		west.kill()
		time.Sleep(darkTime)
		for _, l := range links {
			l.restorePower()
		}
		if err := west.runReady(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(secondWaveAfter)))
	q.sendWave(&clients)
	clients.Wait()
	return nil
}

// sendWave sends some queries at once.
func (q *querier) sendWave(clients *sync.WaitGroup) {
	for range waveQueries {
		q.sent++
		n := q.sent
		clients.Go(func() { q.query(n) })
	}
}

func (q *querier) query(n int) {
	c := q.world.newClient(strconv.Itoa(n), q.front)
	defer c.disconnect()
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
	a := c.send(http.MethodGet, "/bapu561/"+strconv.Itoa(n), id, nil, 2500*time.Millisecond)
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	wrong := checkMerged(q.leafs, id, a)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
	if wrong != "" {
		q.violations = append(q.violations, fmt.Sprintf("MIXED: request %s: %s", id, wrong))
	}
}
