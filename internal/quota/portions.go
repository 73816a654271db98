package quota

import (
	"slices"

	"oxbowdeck/internal/ids"
)

// portion is what is left of the tokens of one reservation or grant.
type portion struct {
	n       int
	expires ids.Millis // may not be used then any more
}

// portions are tokens with their lives, oldest first.
type portions []portion

// add adds tokens.
func (p *portions) add(n int, expires ids.Millis) {
	if n > 0 {
		*p = append(*p, portion{n: n, expires: expires})
	}
}

// lapse takes away the tokens whose life is over, and tells how many.
func (p *portions) lapse(now ids.Millis) (lapsed int) {
	*p = slices.DeleteFunc(*p, func(one portion) bool {
		if now < one.expires {
			return false
		}
		lapsed += one.n
		return true
	})
	return lapsed
}

// held is how many tokens there are.
func (p portions) held() int {
	n := 0
	for _, one := range p {
		n += one.n
	}
	return n
}

// expire is when the newest tokens lapse.
func (p portions) expire() ids.Millis { return p[len(p)-1].expires }

// use takes tokens, the oldest first, and tells when the last of them would lapse.
func (p *portions) use(n int) (expires ids.Millis) {
	for i := range *p {
		one := &(*p)[i]
		part := min(n, one.n)
		one.n -= part
		n -= part
		if part > 0 {
			expires = one.expires
		}
	}
	*p = slices.DeleteFunc(*p, func(one portion) bool { return one.n == 0 })
	return expires
}
