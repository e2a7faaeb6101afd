package org.radishpost.membership;

import org.radishpost.store.VmEntry;

/** State of one other VM; confined to the thread that updates the table. */
final class MemberRecord {
  /** The state of the links to a VM. */
  enum LinkState {
    /** No link was attempted yet, no attempt has completed, or the links were released. */
    UNKNOWN,
    /** A link is open. */
    UP,
    /** The last link was closed or timed out, or the VM could not be reached. */
    DOWN
  }

  VmEntry entry;
  LinkState linkState = LinkState.UNKNOWN;
  boolean listed;
  boolean shuttingDown;
  long authenticatedOrder;
  final long firstSeenOrder;

  MemberRecord(VmEntry entry, long firstSeenOrder) {
    this.entry = entry;
    this.firstSeenOrder = firstSeenOrder;
  }

  /** Returns whether the list contains the VM or a link to it is up. */
  boolean isKnown() {
    return listed || linkState == LinkState.UP;
  }

  /** Returns whether this VM replaces the other one at their common address. */
  boolean supersedes(MemberRecord other) {
    if (shuttingDown != other.shuttingDown) {
      return other.shuttingDown;
    }
    boolean linkUp = linkState == LinkState.UP;
    boolean otherLinkUp = other.linkState == LinkState.UP;
    if (linkUp != otherLinkUp) {
      return linkUp;
    }
    if (authenticatedOrder != other.authenticatedOrder) {
      return authenticatedOrder > other.authenticatedOrder;
    }
    if (firstSeenOrder != other.firstSeenOrder) {
      return firstSeenOrder > other.firstSeenOrder;
    }
    return entry.id().compareTo(other.entry.id()) > 0;
  }
}
