package settings

import "fmt"

// Check reports the first invalid value, naming its key, the value and the bound. Settings
// from the simulator are used unchecked. A node checks its own, because with invalid settings
// it would serve some requests under the terms of others.
func (s *Object) Check() error {
	names := map[string]int{}
	for i, category := range s.Categories {
		key := fmt.Sprintf("categories[%d]", i)
		if category.Name == "" {
			return fmt.Errorf("%s.name is empty", key)
		}
		if first, duplicate := names[category.Name]; duplicate {
			return fmt.Errorf("%s.name: %q is the name of categories[%d] too", key, category.Name, first)
		}
		names[category.Name] = i
		switch {
		case category.Deadline < 0:
			return fmt.Errorf("%s.deadline_ns: %d is below 0", key, category.Deadline)
		case category.Aim < 0:
			return fmt.Errorf("%s.aim_ns: %d is below 0", key, category.Aim)
		case category.KeyTTL < 0:
			return fmt.Errorf("%s.key_ttl_ns: %d is below 0", key, category.KeyTTL)
		case category.Worth < 0:
			return fmt.Errorf("%s.worth: %v is below 0", key, category.Worth)
		}
	}
	tenants := map[string]int{}
	for i, tenant := range s.Tenants {
		if first, duplicate := tenants[tenant.Name]; duplicate {
			return fmt.Errorf("tenants[%d].name: %q is the name of tenants[%d] too", i, tenant.Name, first)
		}
		tenants[tenant.Name] = i
		if tenant.Quota < 0 {
			return fmt.Errorf("tenants[%d].quota_per_s: %v is below 0", i, tenant.Quota)
		}
	}
	return nil
}
