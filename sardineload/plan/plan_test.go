package plan

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func twoClasses() Settings {
	var cfg Settings
	cfg.SetDefaults()
	cfg.Classes = []Class{
		{Name: "a", Rate: 1000},
		{Name: "b", Rate: 100, Orders: true, Kinds: Kinds{Issued: 1, Key: 1, Neither: 2}},
	}
	cfg.Shifts = []Shift{{At: time.Second, For: 10 * time.Millisecond, Every: 2 * time.Second, From: "a", To: "b", Rate: 900}}
	return cfg
}

func allArrivals(p *Plan) []Arrival {
	var arrivals []Arrival
	for n := range p.Steps() {
		arrivals = append(arrivals, p.Next(n)...)
	}
	return arrivals
}

// Guards against runs with the same settings that send different loads, so that their results cannot be compared.
func TestSameSeedSamePlan(t *testing.T) {
	cfg := twoClasses()
	a, b := allArrivals(New(cfg)), allArrivals(New(cfg))
	if !reflect.DeepEqual(a, b) {
		t.Error("plans of the same seed differ")
	}
	cfg.Seed++
	if reflect.DeepEqual(a, allArrivals(New(cfg))) {
		t.Error("plans of different seeds are equal")
	}
}

// Guards against wrong rates, wrong shares of kinds and arrivals that are not sorted by time.
func TestRates(t *testing.T) {
	arrivals := allArrivals(New(twoClasses()))
	counts := map[int]int{}
	kinds := map[Kind]int{}
	last := time.Duration(0)
	for _, a := range arrivals {
		counts[a.Class]++
		kinds[a.Kind]++
		if a.At < last {
			t.Fatal("arrivals out of order")
		}
		last = a.At
	}
	assertNear(t, "a", counts[0], 10_000-45)
	assertNear(t, "b", counts[1], 1000+45)
	assertNear(t, "neither", kinds[KindNeither], 522)
}

// Guards against a shift that begins or ends in the wrong step or is not repeated.
func TestShift(t *testing.T) {
	p := New(twoClasses())
	for at, want := range map[time.Duration]float64{
		0: 1000, time.Second: 100, time.Second + Step: 1000, 3 * time.Second: 100, 2 * time.Second: 1000,
	} {
		if got := p.rate(0, at); got != want || p.rate(1, at) != 1100-want {
			t.Errorf("at %s: rate %v, want %v", at, got, want)
		}
	}
}

// assertNear fails if a count differs from the expected one by more than five standard deviations of a Poisson
// distribution.
func assertNear(t *testing.T, name string, got, want int) {
	t.Helper()
	if math.Abs(float64(got-want)) > 5*math.Sqrt(float64(want)) {
		t.Errorf("%s: %d arrivals, want about %d", name, got, want)
	}
}
