package route

import (
	"slices"
	"strings"
	"testing"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/tenant"
)

// tenantWith returns the declaration of a tenant confined to the named regions.
func tenantWith(name string, regions ...string) tenant.Declaration {
	return tenant.Declaration{Tenant: tenant.Tenant{Name: name, Regions: region.NewSet(regions...)}, APIKeys: []string{"key of " + name}}
}

func TestHomesOfRouteAndTenant(t *testing.T) {
	north, anywhere := region.NewSet("north"), region.Set{}
	for _, test := range []struct {
		name    string
		regions region.Set
		tenant  string
		limited bool
		want    []string
	}{
		{"neither", anywhere, "free", false, nil},
		{"the route alone", north, "free", true, []string{"north"}},
		{"the tenant alone", anywhere, "both", true, []string{"north", "south"}},
		{"both", north, "both", true, []string{"north"}},
		{"both with nothing in common", north, "south", true, nil},
		{"no tenant", north, "", true, []string{"north"}},
		{"a tenant that is gone", north, "gone", true, []string{"north"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			matched := &Route{Name: "r", Host: "h", Regions: test.regions}
			table := NewTable(1, []*Route{matched}, nil, Limits{})
			table.Tenants = tenant.NewDirectory([]tenant.Declaration{
				tenantWith("free"), tenantWith("both", "north", "south"), tenantWith("south", "south"),
			})
			homes := table.AllowedRegionsOf(matched, test.tenant)
			if homes.Limited() != test.limited || !slices.Equal(homes.Names(), test.want) {
				t.Errorf("limited %t to %v", homes.Limited(), homes.Names())
			}
		})
	}
}

func TestBatchHomes(t *testing.T) {
	routes := []*Route{
		{Name: "online", Host: "a", Regions: region.NewSet("north")},
		{Name: "free", Host: "b", Kind: Batch},
		{Name: "confined", Host: "c", Kind: Batch, Regions: region.NewSet("north")},
	}
	table := NewTable(1, routes, nil, Limits{})
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{
		tenantWith("free"), tenantWith("south", "south"), tenantWith("both", "north", "south"),
	})
	var got []string
	for _, home := range table.ConfinedBatchHosts() {
		got = append(got, home.Host+" "+strings.Join(home.Regions.Names(), ","))
	}
	if want := []string{"b north,south", "b south", "c north"}; !slices.Equal(got, want) {
		t.Errorf("confined hosts %v, want %v", got, want)
	}
	if homes := NewTable(1, []*Route{{Name: "free", Kind: Batch}}, nil, Limits{}).ConfinedBatchHosts(); homes != nil {
		t.Errorf("a table that confines nothing has confined hosts %v", homes)
	}
}
