package node

import "container/list"

// cache is a bounded set of keys that forgets the one used longest ago.
type cache struct {
	most  int
	order list.List // of keys, the latest first
	place map[string]*list.Element
}

func newCache(most int) *cache { return &cache{most: most, place: make(map[string]*list.Element)} }

func (c *cache) has(key string) bool {
	e := c.place[key]
	if e != nil {
		c.order.MoveToFront(e)
	}
	return e != nil
}

func (c *cache) add(key string) {
	if c.has(key) || c.most <= 0 {
		return
	}
	if len(c.place) >= c.most {
		c.drop(c.order.Back().Value.(string))
	}
	c.place[key] = c.order.PushFront(key)
}

func (c *cache) drop(key string) {
	if e := c.place[key]; e != nil {
		c.order.Remove(e)
		delete(c.place, key)
	}
}
