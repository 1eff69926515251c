package limiter

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Allocation is the share of a team's limit that one data centre may use.
type Allocation struct {
	// Rate in tokens per second.
	Rate float64
	// Burst in whole tokens.
	Burst float64
}

// Allocate returns the allocation of a data centre. Bursts are divided into whole
// tokens, since a fraction of a token admits no request, and rates in proportion
// to the bursts.
func Allocate(d *declarer.Declaration, team, centre string) Allocation {
	t, ok := d.Teams[team]
	if !ok {
		return Allocation{}
	}
	tokens := divideTokens(d, team, math.Floor(t.Burst))
	own := tokens[centre]
	if own == 0 {
		return Allocation{}
	}
	return Allocation{Rate: t.Rate * own / math.Floor(t.Burst), Burst: own}
}

// divideTokens divides whole tokens among the data centres by the largest
// remainder method. A hash breaks ties, so that different teams favour different
// data centres.
func divideTokens(d *declarer.Declaration, team string, burst float64) map[string]float64 {
	type quota struct {
		centre    string
		remainder float64
		tieBreak  uint64
	}
	tokens := map[string]float64{}
	if len(d.Centres) == 0 {
		tokens[""] = burst
		return tokens
	}
	var quotas []quota
	remaining := burst
	for centre := range d.Centres {
		exact := burst * d.Share(centre)
		tokens[centre] = math.Floor(exact)
		remaining -= tokens[centre]
		quotas = append(quotas, quota{centre, exact - tokens[centre], xxhash.Sum64String(team + "/" + centre)})
	}
	sort.Slice(quotas, func(i, j int) bool {
		if quotas[i].remainder != quotas[j].remainder {
			return quotas[i].remainder > quotas[j].remainder
		}
		return quotas[i].tieBreak < quotas[j].tieBreak
	})
	for _, q := range quotas {
		if remaining < 1 {
			break
		}
		tokens[q.centre]++
		remaining--
	}
	return tokens
}

// EffectiveAllocation returns what a data centre may use now: its new allocation,
// limited to what remains of the team's limit after the larger of the former and
// the new allocation of every other data centre.
func EffectiveAllocation(d *declarer.Declaration, team, centre string, former []*control.Division) Allocation {
	own := Allocate(d, team, centre)
	total := d.Teams[team]
	others := map[string]Allocation{}
	for other := range d.Centres {
		if other != centre {
			others[other] = Allocate(d, team, other)
		}
	}
	for _, f := range former {
		if f.Team != team || f.Centre == centre {
			continue
		}
		p := others[f.Centre]
		others[f.Centre] = Allocation{Rate: math.Max(p.Rate, f.Rate), Burst: math.Max(p.Burst, f.Burst)}
	}
	remaining := Allocation{Rate: total.Rate, Burst: math.Floor(total.Burst)}
	for _, p := range others {
		remaining.Rate -= p.Rate
		remaining.Burst -= p.Burst
	}
	return Allocation{
		Rate:  math.Max(0, math.Min(own.Rate, remaining.Rate)),
		Burst: math.Max(0, math.Min(own.Burst, math.Floor(remaining.Burst))),
	}
}

// FormerDivisions lists the allocations that may still be in use after a change:
// every data centre may go on using its old allocation until it is known to have
// the new version in force. The list includes the known ones of earlier changes.
func FormerDivisions(old, next *declarer.Declaration, known []*control.Division, version uint64) []*control.Division {
	type key struct{ team, centre string }
	divisions := map[key]*control.Division{}
	add := func(f *control.Division) {
		k := key{f.Team, f.Centre}
		if existing, ok := divisions[k]; ok {
			f.Rate, f.Burst = math.Max(f.Rate, existing.Rate), math.Max(f.Burst, existing.Burst)
			f.Until = max(f.Until, existing.Until)
		}
		divisions[k] = f
	}
	for _, f := range known {
		add(&control.Division{Team: f.Team, Centre: f.Centre, Rate: f.Rate, Burst: f.Burst, Until: f.Until})
	}
	for team := range old.Teams {
		for centre := range old.Centres {
			before, after := Allocate(old, team, centre), Allocate(next, team, centre)
			if before.Rate > after.Rate || before.Burst > after.Burst {
				add(&control.Division{Team: team, Centre: centre, Rate: before.Rate, Burst: before.Burst, Until: version})
			}
		}
	}
	var list []*control.Division
	for _, f := range divisions {
		list = append(list, f)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Team != list[j].Team {
			return list[i].Team < list[j].Team
		}
		return list[i].Centre < list[j].Centre
	})
	return list
}
