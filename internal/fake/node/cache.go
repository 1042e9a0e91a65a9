package node

import "container/list"

// cache is a bounded set of keys that evicts the least recently used one.
type cache struct {
	capacity int
	order    list.List // of keys, the most recently used first
	elements map[string]*list.Element
}

func newCache(most int) *cache {
	return &cache{capacity: most, elements: make(map[string]*list.Element)}
}

func (c *cache) has(key string) bool {
	e := c.elements[key]
	if e != nil {
		c.order.MoveToFront(e)
	}
	return e != nil
}

func (c *cache) add(key string) {
	if c.has(key) || c.capacity <= 0 {
		return
	}
	if len(c.elements) >= c.capacity {
		c.drop(c.order.Back().Value.(string))
	}
	c.elements[key] = c.order.PushFront(key)
}

func (c *cache) drop(key string) {
	if e := c.elements[key]; e != nil {
		c.order.Remove(e)
		delete(c.elements, key)
	}
}
