package settings

import "fmt"

// Check finds what no node can go by: it names the key, the value and the bound. Whoever plays settings on the simulator's
// wire takes them as they are; a node that starts with such ones would serve some requests by others' terms.
func (s *Object) Check() error {
	names := map[string]int{}
	for i, c := range s.Categories {
		at := fmt.Sprintf("categories[%d]", i)
		if c.Name == "" {
			return fmt.Errorf("%s.name is empty", at)
		}
		if first, twice := names[c.Name]; twice {
			return fmt.Errorf("%s.name: %q is the name of categories[%d] too", at, c.Name, first)
		}
		names[c.Name] = i
		switch {
		case c.Deadline < 0:
			return fmt.Errorf("%s.deadline_ns: %d is below 0", at, c.Deadline)
		case c.Aim < 0:
			return fmt.Errorf("%s.aim_ns: %d is below 0", at, c.Aim)
		case c.KeyTTL < 0:
			return fmt.Errorf("%s.key_ttl_ns: %d is below 0", at, c.KeyTTL)
		case c.Worth < 0:
			return fmt.Errorf("%s.worth: %v is below 0", at, c.Worth)
		}
	}
	tenants := map[string]int{}
	for i, t := range s.Tenants {
		if first, twice := tenants[t.Name]; twice {
			return fmt.Errorf("tenants[%d].name: %q is the name of tenants[%d] too", i, t.Name, first)
		}
		tenants[t.Name] = i
		if t.Quota < 0 {
			return fmt.Errorf("tenants[%d].quota_per_s: %v is below 0", i, t.Quota)
		}
	}
	return nil
}
