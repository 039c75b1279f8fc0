package configurer

import "github.com/comfreybend/comfreybend/schema/state"

// ServiceOf returns the service of a route. If the route is split, it picks one at random by weight.
// random must return uniformly distributed integers from 0 to n-1.
func ServiceOf(r *state.Route, random func(n int) int) string {
	splits := r.GetSplits()
	if len(splits) == 0 {
		return r.GetService()
	}
	total := 0
	for _, s := range splits {
		total += int(s.GetWeight())
	}
	drawn := random(total)
	for _, s := range splits {
		drawn -= int(s.GetWeight())
		if drawn < 0 {
			return s.GetService()
		}
	}
	return splits[len(splits)-1].GetService()
}
