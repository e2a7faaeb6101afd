/** At most one run for each idempotency key, decided by the order of the platform's log. */
package org.radishpost.claims;
