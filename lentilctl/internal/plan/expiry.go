package plan

import (
	"path/filepath"

	"lentilwind.dev/instance/identity"
)

// Expiry lists the certificates in a fleet's folder with their expiry times.
func Expiry(dir string) ([]IssuedCertificate, error) {
	p, err := Read(filepath.Join(dir, planFile))
	if err != nil {
		return nil, err
	}
	var list []IssuedCertificate
	for _, h := range p.holders() {
		folder := filepath.Join(dir, h.folder, h.name)
		source, err := identity.Load(identity.Files{
			Authority:   filepath.Join(folder, authorityFile),
			Certificate: filepath.Join(folder, certificateFile),
			Key:         filepath.Join(folder, keyFile),
		})
		if err != nil {
			return nil, err
		}
		expires, err := source.Expiry()
		if err != nil {
			return nil, err
		}
		list = append(list, IssuedCertificate{Name: h.name, Role: h.role, Folder: folder, Expires: expires})
	}
	return list, nil
}
