package credit

// Grant is a number of credits, passed on with a call and returned, as far as unspent, with its response.
type Grant struct {
	// Attempts is the number of attempts, first attempts as well as retries.
	Attempts int
	// Retries is the number of those attempts that may be retries.
	Retries int
}

// Add returns the sum of both grants.
func (g Grant) Add(other Grant) Grant {
	return Grant{Attempts: g.Attempts + other.Attempts, Retries: g.Retries + other.Retries}
}

// Sub returns the difference of both grants.
func (g Grant) Sub(other Grant) Grant {
	return Grant{Attempts: g.Attempts - other.Attempts, Retries: g.Retries - other.Retries}
}

// Clamp returns the grant with each field limited to the range from zero to that of the limit.
func (g Grant) Clamp(limit Grant) Grant {
	return Grant{
		Attempts: max(0, min(g.Attempts, limit.Attempts)),
		Retries:  max(0, min(g.Retries, limit.Retries)),
	}
}
