package routing

import (
	"strings"

	"github.com/pkg/errors"
)

// Validate returns an error that names the first invalid field of the configuration, or nil.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return errors.New("version: must be above 0")
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		switch {
		case s.Name == "":
			return errors.Errorf("services[%d]: no name", i)
		case services[s.Name]:
			return errors.Errorf("services[%d]: name %q is used twice", i, s.Name)
		}
		services[s.Name] = true
	}
	routeNames := map[string]string{}
	for i := range c.Routes {
		if err := c.Routes[i].validate(services, routeNames); err != nil {
			return errors.WithMessagef(err, "routes[%d] %q", i, c.Routes[i].Name)
		}
	}
	return c.validateOrganisations()
}

// validate checks one route and adds it to routeNames, the names of earlier routes by host
// and prefix.
func (r *Route) validate(services map[string]bool, routeNames map[string]string) error {
	if r.Host == "" {
		return errors.New("host: empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix: %q must begin and end with a slash", r.Prefix)
	}
	key := strings.ToLower(r.Host) + r.Prefix
	if other, taken := routeNames[key]; taken {
		return errors.Errorf("prefix: host and prefix are the same as of route %q", other)
	}
	routeNames[key] = r.Name
	if r.Kind < Safe || r.Kind > Stream {
		return errors.New("kind: unknown")
	}
	if r.Timeout <= 0 {
		return errors.New("timeout: must be above 0")
	}
	return r.validateSplit(services)
}

// validateSplit checks the services and weights of a route.
func (r *Route) validateSplit(services map[string]bool) error {
	sum := 0
	for i, s := range r.Split {
		if !services[s.Service] {
			return errors.Errorf("split[%d]: unknown service %q", i, s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("split[%d]: the weight is below 0", i)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return errors.New("split: the weights add up to 0")
	}
	return nil
}
