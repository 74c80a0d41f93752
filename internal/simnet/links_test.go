package simnet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woodproxy/replica"
)

const second = replica.Second

func usual(n int) Terms {
	return Terms{Proxies: n, Loss: 0.05, Double: 0.05, Late: 3, Floor: 0.25, Hold: 2 * second, ClockSkew: 60 * second}
}

func node(key string, index int64, rank uint8) replica.Row {
	return replica.Row{Key: key, Epoch: index, Rank: rank, Body: []byte(fmt.Sprint(key, index, rank))}
}

func (w *World) tell(i int, rows ...replica.Row) {
	for _, r := range rows {
		w.Do(i, func(p *Proxy, now replica.Time) []replica.Decision {
			return p.Listed(now, false, r.Epoch, []replica.Row{r})
		})
	}
}

// never checks, after each step, that the sum of shares is kept.
func (w *World) never(t *testing.T) func() {
	return func() {
		if sum := w.Sum(); sum > 1+1e-9 && !t.Failed() {
			t.Errorf("at %.2f s shares are %.4f together", float64(w.Now)/float64(second), sum)
			for _, p := range w.Proxies {
				t.Logf("n%d alive %v share %.4f %v", p.Number, p.Alive, p.Shares, p.Members())
			}
		}
	}
}

func (w *World) all(t *testing.T, what string) {
	t.Helper()
	first := -1
	for i, p := range w.Proxies {
		if !p.Alive {
			continue
		}
		if first < 0 {
			first = i
		}
		if !w.Agree(first, i) || p.Behind() {
			t.Errorf("%s: n%d holds other nodes than n%d, behind %v", what, i, first, p.Behind())
			return
		}
	}
}

// Both halves of a cut fleet change the same row; one stands still for half a minute; seven in ten die and come back;
// three in ten datagrams are lost all the time. Shares are kept in every step, and in the end all hold the same.
func TestFleetUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			n := 20
			if large, err := strconv.Atoi(os.Getenv("WOODPROXY_FLEET")); err == nil { // outside CI
				n = large
			}
			terms := usual(n)
			terms.Loss = 0.3
			w := New(terms, seed)
			never := w.never(t)
			long := func(span replica.Time) replica.Time { return span * replica.Time(100+n) / 100 } // pulses come as rarely
			few := n * 3 / 10
			w.Run(long(12*second), never)
			for i, p := range w.Proxies {
				if p.Shares < 0.999/float64(n) {
					t.Fatalf("n%d has a share of %.4f in a calm fleet", i, p.Shares)
				}
			}
			w.tell(0, node("c1", 5, replica.Active), node("c2", 5, replica.Active))
			w.Run(long(3*second), never)
			w.all(t, "calm")
			w.Cut = func(a, b int) bool { return (a < n*2/5) != (b < n*2/5) }
			w.Proxies[9].Still = true
			w.tell(0, node("c1", 6, replica.Leaving))
			w.tell(n*3/5, node("c1", 6, replica.Active), node("c2", 7, replica.Left))
			w.Run(long(20*second), never)
			if w.Agree(0, n*3/5) {
				t.Error("a cut fleet agrees: nothing was cut")
			}
			if got := w.Proxies[3].Rows["c1"].Rank; got != replica.Leaving {
				t.Errorf("c1 is %d on its side", got)
			}
			w.Cut = nil
			w.Run(long(10*second), never)
			w.Proxies[9].Still = false
			w.Run(long(8*second), never)
			w.all(t, "healed")
			for i, p := range w.Proxies {
				if r := p.Rows["c1"]; i != 0 && (r.Rank != replica.Leaving || r.Epoch != 6) {
					t.Errorf("n%d: a drain told on one side does not bind: %+v", i, r)
				}
			}
			for i := few; i < n; i++ {
				w.Die(i)
			}
			w.Run(long(20*second), never)
			for i := range few {
				if got := w.Proxies[i].Shares; got < 0.8/float64(few) {
					t.Errorf("n%d keeps a share of %.4f with seven in ten gone", i, got)
				}
			}
			for i := few; i < n; i++ {
				w.Start(i)
			}
			w.Run(long(20*second), never)
			w.all(t, "back")
			for i, p := range w.Proxies {
				if p.Shares < 0.999/float64(n) {
					t.Errorf("n%d has a share of %.4f after all came back", i, p.Shares)
				}
			}
		})
	}
}

// Faults drawn at random, one over the other: cuts one way and both, deaths, returns, standing still. Whatever comes, the
// sum of shares is kept, and what is left agrees once the links are whole.
func TestShareKept(t *testing.T) {
	seeds, _ := strconv.ParseUint(os.Getenv("WOODPROXY_SEEDS"), 10, 64) // more of them outside CI
	for seed := range max(seeds, 12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			chance := rand.New(rand.NewPCG(seed, 77))
			terms := usual(3 + chance.IntN(8))
			if seed%2 == 1 { // some are asked more than others, and that shifts: shares are lent
				terms.Demand = func(i int, at replica.Time) float64 {
					return float64((i*7+int(at/(4*second)))%11) * 3
				}
			}
			w := New(terms, seed)
			n := len(w.Proxies)
			never := w.never(t)
			index := int64(2)
			for range 40 {
				switch i, j := chance.IntN(n), chance.IntN(n); chance.IntN(7) {
				case 0:
					w.Die(i)
				case 1, 2:
					if !w.Proxies[i].Alive {
						w.Start(i)
					}
				case 3:
					w.Proxies[i].Still = !w.Proxies[i].Still
				case 4:
					both := chance.IntN(2) == 0
					w.Cut = func(a, b int) bool {
						return (a == i || a == j) && b != i && b != j || both && a != i && a != j && (b == i || b == j)
					}
				case 5:
					w.Cut = nil
				case 6:
					index++
					if w.Proxies[i].Alive && !w.Proxies[i].Still {
						w.tell(i, node(fmt.Sprint("c", chance.IntN(3)), index, uint8(chance.IntN(3))))
					}
				}
				w.Run(replica.Time(chance.Int64N(int64(6*second))), never)
			}
			w.Cut = nil
			for i := range w.Proxies {
				if w.Proxies[i].Still = false; !w.Proxies[i].Alive {
					w.Start(i)
				}
			}
			w.Run(25*second, never)
			w.all(t, "in the end")
			if sum := w.Sum(); terms.Demand == nil && sum < 0.999 || sum < 0.7 { // what is lent lies idle until it is borrowed
				t.Errorf("shares are %.4f together in the end", sum)
			}
		})
	}
}

// Those whose clients ask for most have most of what may be done, and the others half of their even share at least; when
// that turns round, so do shares.
func TestShareFollowsDemand(t *testing.T) {
	terms := usual(10)
	turned := replica.Time(0)
	terms.Demand = func(i int, at replica.Time) float64 {
		if (i < 2) == (turned == 0 || at < turned) {
			return 40
		}
		return 2
	}
	w := New(terms, 5)
	never := w.never(t)
	w.Run(25*second, never)
	part := func(from, to int) (sum float64) {
		for _, p := range w.Proxies[from:to] {
			sum += p.Shares
		}
		return sum
	}
	if got := part(0, 2); got < 0.45 {
		t.Errorf("two that have five sixths of the demand may use %.2f of all", got)
	}
	if got := w.Proxies[7].Shares; got < 0.05-1e-9 {
		t.Errorf("one of little demand keeps %.3f", got)
	}
	turned = w.Now
	w.Run(40*second, never)
	if got := part(0, 2); got > 0.2+1e-9 {
		t.Errorf("turned round, they may use %.2f", got)
	}
}

// The checks fire: a fleet whose operators state fewer proxies than there are takes more than all.
func TestShareCheckFires(t *testing.T) {
	terms := usual(6)
	terms.Stated = 1
	w, over := New(terms, 1), false
	w.Run(second/2, func() { over = over || w.Sum() > 1+1e-9 })
	if !over {
		t.Error("six that each believe to be the only one keep to one share")
	}
}

// One change reaches all of a large fleet, in a number of rounds that grows as its logarithm.
func TestSpreads(t *testing.T) {
	for _, n := range []int{100, 1000} {
		w := New(Terms{Proxies: n, Loss: 0.05, Late: 1, Hold: second, Floor: 0.25, Quiet: true}, 3)
		if took := w.Spread(3 * second); len(took) < n-1 || took[n*99/100-1] > 15*second/10 {
			t.Errorf("%d proxies: %d know, the last after %d", n, len(took), took[len(took)-1])
		}
	}
}

// A large fleet, outside CI: it is cut in two while both sides are told of one node, and heals; a tenth dies meanwhile.
func TestLargeFleet(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("WOODPROXY_LARGE"))
	if err != nil {
		t.Skip("WOODPROXY_LARGE says how many")
	}
	w := New(usual(n), 1)
	never := w.never(t)
	long := func(span replica.Time) replica.Time { return span * replica.Time(100+n) / 100 }
	w.tell(0, node("c1", 5, replica.Active))
	w.Run(long(2*second), never)
	w.Cut = func(a, b int) bool { return (a < n/3) != (b < n/3) }
	w.tell(0, node("c1", 6, replica.Leaving))
	w.tell(n-1, node("c1", 6, replica.Active), node("c2", 7, replica.Left))
	for i := n / 2; i < n*6/10; i++ {
		w.Die(i)
	}
	w.Run(4*second, never)
	if w.Agree(0, n-1) {
		t.Error("a cut fleet agrees: nothing was cut")
	}
	w.Cut = nil
	w.Run(long(3*second), never)
	w.all(t, "healed")
	t.Logf("%d proxies, shares %.3f together in the end", n, w.Sum())
}
