package site

import "catkinstep/core/version/check"

// Parse reads a file that a person wrote. The error lists all its mistakes at
// once (a check.FileErrors), and nothing of a wrong file is used.
func Parse(file string, data []byte) (Site, error) {
	var s Site
	c, err := check.Decode(file, data, &s)
	if err != nil {
		return Site{}, err
	}
	s = s.withDefaults()
	rules{c}.site(s)
	if err := c.Err(); err != nil {
		return Site{}, err
	}
	return s, nil
}
