package proxy

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ErrNeedsRestart is returned for a reload that would change settings that only a restart can change.
var ErrNeedsRestart = errors.New("settings can only change at a restart")

// ReloadSources applies the one setting of a new configuration that the platform changes at run time: the address of
// the endpoint list. Other differences are logged and take effect only at a restart. It must not run concurrently with
// itself or Reload.
func (s *Server) ReloadSources(next *Config) {
	if changed := s.config.ChangesNeedingRestart(next); len(changed) > 0 {
		s.log.Warn("configuration change needs restart", "settings", changed)
	}
	s.log.Info("configuration reloaded", "sources", next.ListSources[0].String())
	config := *s.config
	config.ListSources = next.ListSources
	s.setConfig(&config)
}

// Reload applies a new configuration completely, or returns an error and changes nothing. Requests that arrived before
// are finished under the former configuration. It must not run concurrently with itself or ReloadSources.
func (s *Server) Reload(next *Config) error {
	if changes := immutableChanges(s.config, next); len(changes) > 0 {
		return fmt.Errorf("%w: %s", ErrNeedsRestart, strings.Join(changes, ", "))
	}
	if err := s.core.Reconfigure(&next.Config); err != nil {
		return err
	}
	s.mu.Lock()
	// Requests may be in flight under the former configuration up to its longest deadline.
	s.longestDeadline = max(s.longestDeadline, longestDeadline(&next.Policy))
	s.mu.Unlock()
	s.binary.SetRules(next.binaryRules())
	s.setConfig(next)
	return nil
}

// immutableChanges describes each difference in settings that Reload cannot apply.
func immutableChanges(now, next *Config) (changes []string) {
	for _, setting := range []struct {
		key       string
		now, next any
	}{
		{"name", now.Name, next.Name},
		{"listen", now.Listen, next.Listen},
		{"binary.listen", now.binaryListen(), next.binaryListen()},
		{"binary.nodes", strings.Join(now.BinaryNodes.Names, ","), strings.Join(next.BinaryNodes.Names, ",")},
		{"binary.types", strings.Join(now.BinaryNodes.Types, ","), strings.Join(next.BinaryNodes.Types, ",")},
		{"limits.cores", now.Cores, next.Cores},
		{"limits.memory_mb", now.MemoryBytes / bytesPerMB, next.MemoryBytes / bytesPerMB},
		{"limits.sockets", now.MaxDescriptors, next.MaxDescriptors},
	} {
		if setting.now != setting.next {
			change := fmt.Sprintf("%s (in force %v, requested %v)", setting.key, setting.now, setting.next)
			changes = append(changes, change)
		}
	}
	return changes
}

// setConfig puts a configuration into force, and switches to its sources of the endpoint list if they differ.
func (s *Server) setConfig(next *Config) {
	sourcesChanged := !slices.Equal(next.ListSources, s.config.ListSources)
	s.config = next
	if sourcesChanged {
		s.core.SetListSources(next.ListSources)
	}
}

// ChangesNeedingRestart returns the sorted names of the parts of a platform configuration that differ in next and can
// only change at a restart.
func (c *Config) ChangesNeedingRestart(next *Config) (changed []string) {
	limitsDiffer := c.Cores != next.Cores || c.MemoryBytes != next.MemoryBytes ||
		c.MaxDescriptors != next.MaxDescriptors
	for name, differs := range map[string]bool{
		"name":     c.Name != next.Name,
		"listen":   c.Listen != next.Listen,
		"limits":   limitsDiffer,
		"settings": c.MaxInFlight != next.MaxInFlight || !reflect.DeepEqual(c.Policy, next.Policy),
	} {
		if differs {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}
