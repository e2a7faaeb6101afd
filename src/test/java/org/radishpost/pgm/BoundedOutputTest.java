package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Writers are never held up, whatever reads the output. */
public class BoundedOutputTest {
  @Test
  public void textComesThroughInOrder() throws Exception {
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
    BoundedOutput output = new BoundedOutput(sink);
    output.write("a\n".getBytes(StandardCharsets.UTF_8));
    output.write("b\n".getBytes(StandardCharsets.UTF_8));
    flushed.await();
    assertEquals(sink.toString(StandardCharsets.UTF_8), "a\nb\n");
  }

  @Test
  public void readerThatStandsStillHoldsNobodyUp() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int value) {
            try {
              never.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    BoundedOutput output = new BoundedOutput(stuck);
    for (int i = 0; i < 10_000; i++) {
      output.write(new byte[] {1});
    }
    assertTrue(output.takeLeftOut() >= 7_000);
    never.countDown();
  }
}
