/** Membership of VMs, ownership of pools and shards, and the choice of link peers. */
package org.radishpost.membership;
