/** Claims of idempotency keys: at most one attempt per key is sent, decided by log order. */
package org.radishpost.claims;
