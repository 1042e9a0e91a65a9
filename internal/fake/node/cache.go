package node

import "container/list"

// cache is a bounded set of keys that evicts the least recently used one.
type cache struct {
	capacity int
	recency  list.List // of keys, the most recently used first
	elements map[string]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, elements: make(map[string]*list.Element)}
}

// contains reports whether a key is cached, without marking it as used.
func (c *cache) contains(key string) bool {
	_, ok := c.elements[key]
	return ok
}

// touch reports whether a key is cached, and marks it as the most recently used.
func (c *cache) touch(key string) bool {
	e := c.elements[key]
	if e != nil {
		c.recency.MoveToFront(e)
	}
	return e != nil
}

func (c *cache) add(key string) {
	if c.touch(key) || c.capacity <= 0 {
		return
	}
	if len(c.elements) >= c.capacity {
		c.remove(c.recency.Back().Value.(string))
	}
	c.elements[key] = c.recency.PushFront(key)
}

func (c *cache) remove(key string) {
	if e := c.elements[key]; e != nil {
		c.recency.Remove(e)
		delete(c.elements, key)
	}
}
