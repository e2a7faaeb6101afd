package org.radishpost.link;

/**
 * Bounds what waits to be written to a connection, in frames and in bytes; thread-safe.
 *
 * <p>What was taken is given back with {@link #release} when it is written.
 */
final class SendBound {
  private final int maxFrames;
  private final int maxBytes;
  private int frames;
  private int bytes;

  SendBound(int maxFrames, int maxBytes) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
  }

  /** Takes room for a frame; tells whether there was any. */
  synchronized boolean take(int frameBytes) {
    if (frames >= maxFrames || bytes + frameBytes > maxBytes) {
      return false;
    }
    force(frameBytes);
    return true;
  }

  /** Takes room for a frame that must go out. */
  synchronized void force(int frameBytes) {
    frames++;
    bytes += frameBytes;
  }

  /** Gives the room of a frame back. */
  synchronized void release(int frameBytes) {
    frames--;
    bytes -= frameBytes;
  }
}
