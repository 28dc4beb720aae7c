package fleet

import "github.com/basilferry/basilferry/core/domain"

// accountUse holds the use of each client account: the full needs of its attempts on all
// workers. Accounts without attempts have no entry.
type accountUse map[string]domain.Resources

// add adds the need to the use of the account. Attempts of no account cost nothing.
func (u accountUse) add(account string, need domain.Resources) {
	if account == "" {
		return
	}
	use := u[account].Add(need)
	if use == (domain.Resources{}) {
		delete(u, account)
		return
	}
	u[account] = use
}

// AccountUse returns the sum of the full needs of all attempts of a client account. It
// includes attempts that are not sent yet and those on workers that do not answer.
func (f *Fleet) AccountUse(name string) domain.Resources { return f.accounts[name] }

// accountNeed returns what the attempt counts for its account.
func (r *Attempt) accountNeed() domain.Resources {
	if r.Step == nil {
		return r.FullNeed
	}
	return r.Step.Need
}
