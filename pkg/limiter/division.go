package limiter

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Part is what one data centre may use of a team's limit.
type Part struct {
	// Rate in tokens per second.
	Rate float64
	// Burst in whole tokens.
	Burst float64
}

// Divide gives the part of a data centre. Bursts are divided in whole tokens,
// since a part of a token admits nothing, and rates in proportion to them.
func Divide(d *declarer.Declaration, team, centre string) Part {
	t, ok := d.Teams[team]
	if !ok {
		return Part{}
	}
	tokens := divideTokens(d, team, math.Floor(t.Burst))
	mine := tokens[centre]
	if mine == 0 {
		return Part{}
	}
	return Part{Rate: t.Rate * mine / math.Floor(t.Burst), Burst: mine}
}

// divideTokens splits whole tokens by the largest remainder; ties go by a
// hash, so that different teams favour different data centres.
func divideTokens(d *declarer.Declaration, team string, burst float64) map[string]float64 {
	type quota struct {
		centre    string
		remainder float64
		order     uint64
	}
	tokens := map[string]float64{}
	if len(d.Centres) == 0 {
		tokens[""] = burst
		return tokens
	}
	var quotas []quota
	left := burst
	for centre := range d.Centres {
		exact := burst * d.Share(centre)
		tokens[centre] = math.Floor(exact)
		left -= tokens[centre]
		quotas = append(quotas, quota{centre, exact - tokens[centre], xxhash.Sum64String(team + "/" + centre)})
	}
	sort.Slice(quotas, func(i, j int) bool {
		if quotas[i].remainder != quotas[j].remainder {
			return quotas[i].remainder > quotas[j].remainder
		}
		return quotas[i].order < quotas[j].order
	})
	for _, q := range quotas {
		if left < 1 {
			break
		}
		tokens[q.centre]++
		left--
	}
	return tokens
}

// Effective is the part that a data centre may use now: its new part, less
// what others may still be using of their former parts.
func Effective(d *declarer.Declaration, team, centre string, former []*control.Division) Part {
	mine := Divide(d, team, centre)
	total := d.Teams[team]
	others := map[string]Part{}
	for other := range d.Centres {
		if other != centre {
			others[other] = Divide(d, team, other)
		}
	}
	for _, f := range former {
		if f.Team != team || f.Centre == centre {
			continue
		}
		p := others[f.Centre]
		others[f.Centre] = Part{Rate: math.Max(p.Rate, f.Rate), Burst: math.Max(p.Burst, f.Burst)}
	}
	left := Part{Rate: total.Rate, Burst: math.Floor(total.Burst)}
	for _, p := range others {
		left.Rate -= p.Rate
		left.Burst -= p.Burst
	}
	return Part{
		Rate:  math.Max(0, math.Min(mine.Rate, left.Rate)),
		Burst: math.Max(0, math.Min(mine.Burst, math.Floor(left.Burst))),
	}
}

// Former lists the divisions that a change leaves behind: every data centre
// may go on using its old part until it is known to have the new version.
func Former(old, next *declarer.Declaration, known []*control.Division, version uint64) []*control.Division {
	type place struct{ team, centre string }
	parts := map[place]*control.Division{}
	add := func(f *control.Division) {
		k := place{f.Team, f.Centre}
		if had, ok := parts[k]; ok {
			f.Rate, f.Burst = math.Max(f.Rate, had.Rate), math.Max(f.Burst, had.Burst)
			f.Until = max(f.Until, had.Until)
		}
		parts[k] = f
	}
	for _, f := range known {
		add(&control.Division{Team: f.Team, Centre: f.Centre, Rate: f.Rate, Burst: f.Burst, Until: f.Until})
	}
	for team := range old.Teams {
		for centre := range old.Centres {
			was, is := Divide(old, team, centre), Divide(next, team, centre)
			if was.Rate > is.Rate || was.Burst > is.Burst {
				add(&control.Division{Team: team, Centre: centre, Rate: was.Rate, Burst: was.Burst, Until: version})
			}
		}
	}
	var list []*control.Division
	for _, f := range parts {
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
