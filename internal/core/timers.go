package core

// timers is a heap, the earliest first. (container/heap would box each.)
type timers []timer

// push adds a timer and tells whether it is the earliest.
func (h *timers) push(t timer) bool {
	s := append(*h, t)
	i := len(s) - 1
	for i > 0 && s[i].at < s[(i-1)/2].at {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	*h = s
	return i == 0
}

// pop removes the earliest.
func (h *timers) pop() timer {
	s := *h
	first, last := s[0], len(s)-1
	s[0] = s[last]
	s = s[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if s[child].at < s[least].at {
				least = child
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*h = s
	return first
}
