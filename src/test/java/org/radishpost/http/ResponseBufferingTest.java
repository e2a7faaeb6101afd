package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.errors.UnframedResponseException;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests that a response without a declared length takes a limited amount of memory. */
public class ResponseBufferingTest {
  private static final int PART_BYTES = 65_536;

  private static Response response(Flux<ByteBuf> body) {
    return new Response(200, new DefaultHttpHeaders(), body, Mono.empty(), Optional.empty());
  }

  private static Flux<ByteBuf> parts() {
    return Flux.generate(sink -> sink.next(Unpooled.wrappedBuffer(new byte[PART_BYTES])));
  }

  /** A target that sent bytes without end filled the memory of the VM. */
  @Test
  public void endlessBodyFailsAtTheLimit() {
    AtomicLong received = new AtomicLong();
    Flux<ByteBuf> endless = parts().doOnNext(part -> received.addAndGet(part.readableBytes()));
    AtomicLong failures = new AtomicLong();
    ResponseBuffering.bufferIfSmall(response(endless))
        .onErrorResume(
            UnframedResponseException.class,
            error -> {
              failures.incrementAndGet();
              return Mono.empty();
            })
        .block();
    assertEquals(failures.get(), 1);
    assertTrue(received.get() <= ResponseBuffering.MAX_UNDECLARED_BYTES + PART_BYTES);
  }

  @Test
  public void bodyWithoutDeclaredLengthGetsOne() {
    Response buffered = ResponseBuffering.bufferIfSmall(response(parts().take(3))).block();
    assertEquals(buffered.headers().get("content-length"), String.valueOf(3 * PART_BYTES));
  }
}
