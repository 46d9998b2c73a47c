package credit

// Grant is the right to make attempts, handed down with a call and handed back with its answer.
type Grant struct {
	// Attempts counts every attempt, the first of each operation as well as its retries.
	Attempts int
	// Retries counts those attempts that repeat an operation.
	Retries int
}

// Add returns the sum of both grants.
func (g Grant) Add(other Grant) Grant {
	return Grant{Attempts: g.Attempts + other.Attempts, Retries: g.Retries + other.Retries}
}

// Sub returns the grant without the other one.
func (g Grant) Sub(other Grant) Grant {
	return Grant{Attempts: g.Attempts - other.Attempts, Retries: g.Retries - other.Retries}
}

// Clamp returns the grant with each part cut to lie between zero and the limit's.
func (g Grant) Clamp(limit Grant) Grant {
	return Grant{
		Attempts: max(0, min(g.Attempts, limit.Attempts)),
		Retries:  max(0, min(g.Retries, limit.Retries)),
	}
}
