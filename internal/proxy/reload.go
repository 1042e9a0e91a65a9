package proxy

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ErrNeedsRestart is the error of a reload that would change what can only change at a restart.
var ErrNeedsRestart = errors.New("these cannot change in service")

// ReloadSources applies of a new configuration what the platform changes in service: the address of the endpoint
// list. Other differences are logged and have no effect until a restart. Calls of it and of Reload must not
// overlap.
func (s *Server) ReloadSources(next *Config) {
	if changed := s.config.ChangesNeedingRestart(next); len(changed) > 0 {
		s.log.Warn("configuration change needs restart", "settings", changed)
	}
	s.log.Info("configuration reloaded", "sources", next.ListSources[0].String())
	config := *s.config
	config.ListSources = next.ListSources
	s.setConfig(&config)
}

// Reload applies a new configuration completely, or returns an error and changes nothing. A request that came before
// ends under the former configuration.
func (s *Server) Reload(next *Config) error {
	if fixed := immutableChanges(s.config, next); len(fixed) > 0 {
		return fmt.Errorf("%w: %s", ErrNeedsRestart, strings.Join(fixed, ", "))
	}
	if err := s.core.Reconfigure(&next.Config); err != nil {
		return err
	}
	s.mu.Lock()
	// Requests under the former configuration may be in flight for as long as that allows.
	s.longestDeadline = max(s.longestDeadline, longestDeadline(&next.Policy))
	s.mu.Unlock()
	s.binary.SetRules(next.binaryRules())
	s.setConfig(next)
	return nil
}

// immutableChanges describes the differences in settings that Reload cannot apply.
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
			change := fmt.Sprintf("%s (in force %v, asked for %v)", setting.key, setting.now, setting.next)
			changes = append(changes, change)
		}
	}
	return changes
}

// setConfig makes a configuration the one in force, and follows its sources if they have changed.
func (s *Server) setConfig(next *Config) {
	sourcesChanged := !slices.Equal(next.ListSources, s.config.ListSources)
	s.config = next
	if sourcesChanged {
		s.core.SetListSources(next.ListSources)
	}
}

// ChangesNeedingRestart returns the parts of a platform configuration that differ in next and cannot change in
// service.
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
