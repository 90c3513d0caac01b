package config

import "net/netip"

// Operator is the settings of sardinectl.
type Operator struct {
	Platform Platform `config:"platform,required"`
	// Admin holds the admin addresses of all hosts.
	Admin []netip.AddrPort `config:"admin,required" range:"1..1024" unique:"."`
}

// LoadOperator reads the settings of sardinectl.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	err := Load(file, &o)
	return o, err
}
