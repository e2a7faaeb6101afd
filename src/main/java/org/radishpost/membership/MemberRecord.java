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
    LOST
  }

  VmEntry entry;
  LinkState link = LinkState.UNKNOWN;
  boolean listed;
  boolean farewell;
  long provedOrder;
  final long seenOrder;

  MemberRecord(VmEntry entry, long seenOrder) {
    this.entry = entry;
    this.seenOrder = seenOrder;
  }

  /** Tells whether anything still vouches for the VM. */
  boolean known() {
    return listed || link == LinkState.UP;
  }

  /** Tells whether this VM has the better claim to an address that both name. */
  boolean supersedes(MemberRecord other) {
    if (farewell != other.farewell) {
      return other.farewell;
    }
    boolean up = link == LinkState.UP;
    boolean otherUp = other.link == LinkState.UP;
    if (up != otherUp) {
      return up;
    }
    if (provedOrder != other.provedOrder) {
      return provedOrder > other.provedOrder;
    }
    if (seenOrder != other.seenOrder) {
      return seenOrder > other.seenOrder;
    }
    return entry.id().compareTo(other.entry.id()) > 0;
  }
}
