package org.radishpost.membership;

import org.radishpost.store.VmEntry;

/** What is known of one other VM; confined to the thread that changes the table. */
final class MemberRecord {
  /** What links say of a VM. */
  enum LinkState {
    /** No link was tried or came to a result. */
    UNKNOWN,
    /** A link stands. */
    UP,
    /** The last link is gone or silent, or the VM could not be reached. */
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

  /** Tells whether anything still vouches for the VM. */
  boolean isKnown() {
    return listed || linkState == LinkState.UP;
  }

  /** Tells whether this VM has the better claim to an address that both name. */
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
