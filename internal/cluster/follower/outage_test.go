package follower_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/wire/encoder"
)

// responseTime is the time that the store takes for a response.
const responseTime = 4 * time.Millisecond

// silentSource is a store whose version changes at a given time, and which never answers the calls that reach it while
// it is silent.
type silentSource struct {
	silentFrom, silentTo, changeAt time.Time
	// lostCalls is the number of next calls that are never answered either.
	lostCalls int
}

func (s *silentSource) revision() int {
	if time.Now().Before(s.changeAt) {
		return 1
	}
	return 2
}

func (s *silentSource) change() registrar.Change {
	table, _ := mapper.New(encoder.RoutingTable{Version: s.revision()})
	return registrar.Change{Position: registrar.Position{Revision: s.revision()}, Table: table}
}

func (s *silentSource) Load(ctx context.Context, timeout time.Duration) (registrar.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.await(ctx, responseTime); err != nil {
		return registrar.Change{}, err
	}
	change := s.change()
	change.Complete = true
	return change, nil
}

func (s *silentSource) Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error) {
	if after < s.revision() {
		wait = 0
	} else {
		wait = min(wait, max(time.Until(s.changeAt), 0))
	}
	if err := s.await(ctx, wait+responseTime); err != nil {
		return registrar.Change{}, err
	}
	if after < s.revision() {
		return s.change(), nil
	}
	return registrar.Change{Position: registrar.Position{Revision: after}}, nil
}

// await waits for the response, without end if the store is silent at the time of the call or of the response.
func (s *silentSource) await(ctx context.Context, wait time.Duration) error {
	lost := s.lostCalls > 0
	if lost {
		s.lostCalls--
	}
	if lost || s.silent() {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.silent() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (s *silentSource) silent() bool {
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentTo)
}

// silentPeers are instances that are known to have a newer state, but do not reply.
type silentPeers struct{ staticPeers }

func (silentPeers) NewerState(ctx context.Context, _ registrar.Position) (registrar.Change, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(propagationLimit):
	}
	return registrar.Change{}, false
}

// Guards against an instance that still waits for the response to a call from an outage of the store when changes after
// the outage have to be in force.
func TestChangeAfterOutageIsInForceInTime(t *testing.T) {
	for _, started := range []bool{true, false} {
		for _, peers := range []follower.Peers{staticPeers{}, silentPeers{}} {
			for outage := 100 * time.Millisecond; outage < 9*time.Second; outage += 130 * time.Millisecond {
				t.Run(fmt.Sprintf("started=%v/%T/%s", started, peers, outage), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						began := time.Now()
						if started {
							began = began.Add(5 * time.Second)
						}
						source := &silentSource{silentFrom: began, silentTo: began.Add(outage), changeAt: began.Add(outage)}
						r := registrar.New()
						f := follower.New(source, r, log.New(io.Discard), follower.WithPropagationLimit(propagationLimit), follower.WithPeers(peers))
						go f.Run(t.Context())
						time.Sleep(time.Until(source.changeAt.Add(propagationLimit)))
						synctest.Wait()
						assert.Equal(t, tableVersion(r), 2)
					})
				})
			}
		}
	}
}

// followTimeout is the time after which package feeder gives up an upstream that does not reply.
const followTimeout = propagationLimit * 6 / 10

// lostUpstream is an upstream that confirms its state until a given time, and then does not reply any more.
type lostUpstream struct {
	staticPeers
	lostAt time.Time
	lost   bool
}

func (u *lostUpstream) Upstream() (string, bool) { return "first", !u.lost }

func (u *lostUpstream) Follow(context.Context, string) (follower.Update, error) {
	if time.Now().Before(u.lostAt) {
		time.Sleep(time.Until(u.lostAt))
		return follower.Update{Change: registrar.Change{Position: registrar.Position{Revision: 1}, Complete: true}, ConfirmedAt: time.Now()}, nil
	}
	time.Sleep(followTimeout)
	u.lost = true
	return follower.Update{}, errors.New("no reply")
}

// Guards against an instance that loses its upstream and its first call to the store, such as on a connection that has
// fallen silent, and waits for both in turn.
func TestChangeAfterLossOfUpstreamIsInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lostAt := time.Now().Add(time.Second)
		source := &silentSource{changeAt: lostAt, lostCalls: 1}
		r := registrar.New()
		f := follower.New(source, r, log.New(io.Discard), follower.WithPropagationLimit(propagationLimit), follower.WithPeers(&lostUpstream{lostAt: lostAt}))
		go f.Run(t.Context())
		time.Sleep(time.Until(lostAt.Add(propagationLimit)))
		synctest.Wait()
		assert.Equal(t, tableVersion(r), 2)
	})
}
