package org.radishpost.pgm;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Output that never blocks its writers: a thread of its own writes, and what it can't keep up with
 * is left out and counted.
 *
 * <p>Thread-safe; each write is one piece of text.
 */
final class NonBlockingOutputStream extends OutputStream {
  private static final int MAX_QUEUED_WRITES = 2_000;

  private final OutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
  private final AtomicLong droppedWrites = new AtomicLong();

  /**
   * Creates one whose thread runs until the process ends.
   *
   * @param out where the text goes in the end
   */
  NonBlockingOutputStream(OutputStream out) {
    this.out = out;
    Thread writer = new Thread(this::writeAll, "output");
    writer.setDaemon(true);
    writer.start();
  }

  /** Puts one in front of standard output. */
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

  /** Returns the pieces that were left out since the last call. */
  long takeDroppedWrites() {
    return droppedWrites.getAndSet(0);
  }

  private void writeAll() {
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
      String line = "WARN radishpost " + count + " pieces of output were left out\n";
      out.write(line.getBytes(StandardCharsets.UTF_8));
    }
  }
}
