package plan

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"lentilwind.dev/instance/identity"
)

// Names of files and folders below the fleet's folder.
const (
	authorityFolder  = "authority"
	instancesFolder  = "instances"
	operatorsFolder  = "operators"
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	certificateFile  = "certificate.pem"
	keyFile          = "key.pem"
	sessionKeyFile   = "session.key"
	settingsFile     = "settings.jsonc"
	clientFile       = "lentilctl.jsonc"
	planFile         = "plan.jsonc"
	inventoryFile    = "inventory.jsonc"
)

const (
	secretBytes   = 32
	folderMode    = 0o750
	secretMode    = 0o600
	plainFileMode = 0o644
)

// ErrExists means that the folder already contains a fleet.
var ErrExists = errors.New("plan: the folder already contains a fleet; choose another one")

// IssuedCertificate describes a certificate written to a folder.
type IssuedCertificate struct {
	Name    string        `json:"name"`
	Role    identity.Role `json:"role"`
	Folder  string        `json:"folder"`
	Expires time.Time     `json:"expires"`
}

// Initialise creates the certificate authority of a fleet and the files of every process and operator in dir.
func Initialise(dir string, p *Plan, planText, inventoryText []byte, now time.Time) ([]IssuedCertificate, error) {
	if _, err := os.Stat(filepath.Join(dir, authorityFolder)); !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Join(ErrExists, err)
	}
	pair, err := identity.NewAuthority(p.Fleet, now)
	if err != nil {
		return nil, err
	}
	if err := writeFiles(filepath.Join(dir, authorityFolder), map[string][]byte{
		authorityFile: pair.Certificate, authorityKeyFile: pair.Key,
	}); err != nil {
		return nil, err
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if err := writeSettings(dir, p, []byte(fmt.Sprintf("%x\n", secret))); err != nil {
		return nil, err
	}
	if err := writeFiles(dir, map[string][]byte{planFile: planText, inventoryFile: inventoryText}); err != nil {
		return nil, err
	}
	return Renew(dir, p, nil, now)
}

// Renew issues new certificates for the named processes and operators, or for all if names is empty.
func Renew(dir string, p *Plan, names []string, now time.Time) ([]IssuedCertificate, error) {
	authority, authorityPEM, err := loadAuthority(dir)
	if err != nil {
		return nil, err
	}
	holdersByName := p.holdersByName()
	for _, name := range names {
		if _, found := holdersByName[name]; !found {
			return nil, fmt.Errorf("plan: %q is not in the plan", name)
		}
	}
	var issued []IssuedCertificate
	for _, h := range p.holders() {
		if !selected(names, h.name) {
			continue
		}
		pair, err := authority.Issue(h.name, h.role, h.addresses, now, p.CertificateLifetime.Std())
		if err != nil {
			return nil, err
		}
		folder := filepath.Join(dir, h.folder, h.name)
		if err := writeFiles(folder, map[string][]byte{
			keyFile: pair.Key, certificateFile: pair.Certificate, authorityFile: authorityPEM,
		}); err != nil {
			return nil, err
		}
		issued = append(issued, IssuedCertificate{Name: h.name, Role: h.role, Folder: folder, Expires: now.Add(p.CertificateLifetime.Std())})
	}
	return issued, nil
}

// selected reports whether names contains name; an empty list selects all.
func selected(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func loadAuthority(dir string) (*identity.Authority, []byte, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, authorityFolder, authorityFile))
	if err != nil {
		return nil, nil, fmt.Errorf("plan: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityFolder, authorityKeyFile))
	if err != nil {
		return nil, nil, fmt.Errorf("plan: %w", err)
	}
	authority, err := identity.LoadAuthority(identity.KeyPair{Certificate: certificate, Key: key})
	return authority, certificate, err
}

// holder is a process or operator that holds a certificate.
type holder struct {
	name      string
	role      identity.Role
	folder    string
	addresses []netip.Addr
}

func (p *Plan) holders() []holder {
	var list []holder
	for _, c := range p.Control {
		list = append(list, holder{string(c.Name), identity.RoleControl, instancesFolder, addressesOf(c.Operators, c.Peer)})
	}
	for _, e := range p.Entries {
		list = append(list, holder{string(e.Name), identity.RoleEntry, instancesFolder, addressesOf(e.Callers, e.Peer)})
	}
	for _, name := range p.Operators {
		list = append(list, holder{name, identity.RoleOperator, operatorsFolder, nil})
	}
	return list
}

func (p *Plan) holdersByName() map[string]holder {
	holdersByName := make(map[string]holder)
	for _, h := range p.holders() {
		holdersByName[h.name] = h
	}
	return holdersByName
}

func addressesOf(texts ...string) []netip.Addr {
	var addresses []netip.Addr
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err == nil {
			addresses = append(addresses, address.Addr())
		}
	}
	return addresses
}

func identityFiles() identity.Files {
	return identity.Files{Authority: authorityFile, Certificate: certificateFile, Key: keyFile}
}

// writeJSON writes a settings file with a leading comment.
func writeJSON(path, comment string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	text := append([]byte("// "+comment+"\n"), data...)
	return writeFiles(filepath.Dir(path), map[string][]byte{filepath.Base(path): append(text, '\n')})
}

// writeFiles replaces each file atomically, so that a process that reads it concurrently sees the old or the new content.
func writeFiles(folder string, files map[string][]byte) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	for _, name := range []string{keyFile, authorityKeyFile, sessionKeyFile, authorityFile, certificateFile, settingsFile, clientFile, planFile, inventoryFile} {
		data, found := files[name]
		if !found {
			continue
		}
		path := filepath.Join(folder, name)
		mode := fs.FileMode(plainFileMode)
		if name == keyFile || name == authorityKeyFile || name == sessionKeyFile {
			mode = secretMode
		}
		if err := os.WriteFile(path+".new", data, mode); err != nil {
			return fmt.Errorf("plan: %w", err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			return fmt.Errorf("plan: %w", err)
		}
	}
	return nil
}
