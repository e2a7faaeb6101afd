package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Writes stay in order, and a slow reader does not block the writers. */
public class NonBlockingOutputStreamTest {
  @Test
  public void writesAreForwardedInOrder() throws Exception {
    CountDownLatch flushed = new CountDownLatch(1);
    ByteArrayOutputStream sink =
        new ByteArrayOutputStream() {
          @Override
          public void flush() {
            if (toString(StandardCharsets.UTF_8).endsWith("b\n")) {
              flushed.countDown();
            }
          }
        };
    NonBlockingOutputStream output = new NonBlockingOutputStream(sink);
    output.write("a\n".getBytes(StandardCharsets.UTF_8));
    output.write("b\n".getBytes(StandardCharsets.UTF_8));
    flushed.await();
    assertEquals(sink.toString(StandardCharsets.UTF_8), "a\nb\n");
  }

  @Test
  public void stalledReaderDoesNotBlockWriters() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int value) {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    NonBlockingOutputStream output = new NonBlockingOutputStream(stalled);
    for (int i = 0; i < 10_000; i++) {
      output.write(new byte[] {1});
    }
    assertTrue(output.takeDroppedWrites() >= 7_000);
    release.countDown();
  }
}
