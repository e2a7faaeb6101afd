package org.radishpost.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the bytes that are held in memory at one time, over all holders.
 *
 * <p>When the budget is exceeded, the largest holder gives up what it holds. So a body that does
 * not end makes room for all others, however many of its kind there are. Confined to one thread.
 */
public final class ByteBudget {
  private final long maxBytes;
  private final Set<Holder> holders = new HashSet<>();
  private long heldBytes;

  /**
   * Creates a budget of which nothing is held.
   *
   * @param maxBytes the maximum number of bytes held at one time
   */
  public ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds a holder, which must be closed.
   *
   * @param revoke called at most once, if the holder has to give up what it holds; not called after
   *     the holder was closed
   */
  public Holder open(Runnable revoke) {
    return new Holder(revoke);
  }

  /** Returns the maximum number of bytes held at one time. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns the number of bytes that are held now. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Adds bytes to a holder and returns the holders that have to give up all of theirs for them. */
  private List<Holder> add(Holder holder, long bytes) {
    if (holder.closed) {
      return List.of();
    }
    holders.add(holder);
    holder.bytes += bytes;
    heldBytes += bytes;
    List<Holder> revoked = new ArrayList<>();
    while (heldBytes > maxBytes) {
      Holder largest =
          holders.stream().max(Comparator.comparingLong(held -> held.bytes)).orElseThrow();
      remove(largest);
      revoked.add(largest);
    }
    return revoked;
  }

  private void remove(Holder holder) {
    holder.closed = true;
    if (holders.remove(holder)) {
      heldBytes -= holder.bytes;
      holder.bytes = 0;
    }
  }

  /** Something that holds bytes, such as a body that is being received. */
  public final class Holder implements AutoCloseable {
    private final Runnable revoke;
    private long bytes;
    private boolean closed;

    private Holder(Runnable revoke) {
      this.revoke = revoke;
    }

    /** Holds more bytes, for which this holder or others may be revoked. */
    public void add(long moreBytes) {
      ByteBudget.this.add(this, moreBytes).forEach(holder -> holder.revoke.run());
    }

    /** Gives back all bytes. */
    @Override
    public void close() {
      remove(this);
    }
  }
}
