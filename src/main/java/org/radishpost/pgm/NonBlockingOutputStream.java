package org.radishpost.pgm;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An output stream that never blocks its writers.
 *
 * <p>A background thread passes the writes on to another stream. When its queue is full, writes are
 * dropped and counted. Thread-safe; the bytes of one write are passed on together or dropped
 * together.
 */
final class NonBlockingOutputStream extends OutputStream {
  private static final int MAX_QUEUED_WRITES = 2_000;

  private final OutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
  private final AtomicLong droppedWrites = new AtomicLong();

  /**
   * Starts the background thread, which runs until the process ends.
   *
   * @param out the stream that the writes are passed on to
   */
  NonBlockingOutputStream(OutputStream out) {
    this.out = out;
    Thread writer = new Thread(this::forwardWrites, "output");
    writer.setDaemon(true);
    writer.start();
  }

  /** Makes {@link System#out} non-blocking. */
  static void installOnStandardOutput() {
    NonBlockingOutputStream output = new NonBlockingOutputStream(System.out);
    System.setOut(new PrintStream(output, false, StandardCharsets.UTF_8));
  }

  @Override
  public void write(int value) {
    write(new byte[] {(byte) value}, 0, 1);
  }

  @Override
  public void write(byte[] bytes, int offset, int length) {
    byte[] copy = new byte[length];
    System.arraycopy(bytes, offset, copy, 0, length);
    if (!queue.offer(copy)) {
      droppedWrites.incrementAndGet();
    }
  }

  /** Returns the number of dropped writes and resets it to zero. */
  long takeDroppedWrites() {
    return droppedWrites.getAndSet(0);
  }

  private void forwardWrites() {
    try {
      while (true) {
        out.write(queue.take());
        if (queue.isEmpty()) {
          reportDroppedWrites();
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      droppedWrites.incrementAndGet();
    }
  }

  private void reportDroppedWrites() throws IOException {
    long count = takeDroppedWrites();
    if (count > 0) {
      String line = "WARN radishpost " + count + " writes to standard output were dropped\n";
      out.write(line.getBytes(StandardCharsets.UTF_8));
    }
  }
}
