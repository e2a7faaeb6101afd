package org.radishpost.link;

/**
 * Bounds what waits to be written to a connection, in frames and in bytes; thread-safe.
 *
 * <p>What was taken is given back with {@link #release} when it is written.
 */
final class SendQueueLimit {
  private final int maxFrames;
  private final int maxBytes;
  private int queuedFrames;
  private int queuedBytes;

  SendQueueLimit(int maxFrames, int maxBytes) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
  }

  /** Takes room for a frame; tells whether there was any. */
  synchronized boolean tryReserve(int frameBytes) {
    if (queuedFrames >= maxFrames || queuedBytes + frameBytes > maxBytes) {
      return false;
    }
    reserve(frameBytes);
    return true;
  }

  /** Takes room for a frame that must go out. */
  synchronized void reserve(int frameBytes) {
    queuedFrames++;
    queuedBytes += frameBytes;
  }

  /** Gives the room of a frame back. */
  synchronized void release(int frameBytes) {
    queuedFrames--;
    queuedBytes -= frameBytes;
  }
}
