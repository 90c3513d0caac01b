package config

import "net/netip"

// Operator holds the settings of sardinectl, the operators' program.
type Operator struct {
	Platform Platform `config:"platform,required"`
	// Admin holds the addresses of the admin listeners of all hosts.
	Admin []netip.AddrPort `config:"admin,required" range:"1..1024" unique:"."`
}

// LoadOperator reads the settings of sardinectl from a file. Its errors are those of Load.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	err := Load(file, &o)
	return o, err
}
