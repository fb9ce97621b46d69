package site

import "catkinstep/core/version/check"

// Parse decodes and validates a site file that an operator wrote. The error is a
// check.FileErrors with all problems of the file; an invalid file yields an empty Site.
func Parse(file string, data []byte) (Site, error) {
	var s Site
	c, err := check.Decode(file, data, &s)
	if err != nil {
		return Site{}, err
	}
	s = s.withDefaults()
	validator{c}.checkSite(s)
	if err := c.Err(); err != nil {
		return Site{}, err
	}
	return s, nil
}
