package org.radishpost.link;

/**
 * Limits the frames and bytes in the send queue of a connection; thread-safe.
 *
 * <p>The caller releases each reservation with {@link #release} once the frame is written.
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

  /** Reserves capacity for a frame; returns false if the queue is full. */
  synchronized boolean tryReserve(int frameBytes) {
    if (queuedFrames >= maxFrames || queuedBytes + frameBytes > maxBytes) {
      return false;
    }
    reserve(frameBytes);
    return true;
  }

  /** Reserves capacity for a frame even if the queue is full. */
  synchronized void reserve(int frameBytes) {
    queuedFrames++;
    queuedBytes += frameBytes;
  }

  /** Releases the capacity of a frame. */
  synchronized void release(int frameBytes) {
    queuedFrames--;
    queuedBytes -= frameBytes;
  }
}
