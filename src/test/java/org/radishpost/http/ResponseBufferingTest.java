package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.errors.MemoryBudgetException;
import org.radishpost.errors.UnframedResponseException;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Tests that a response without a declared length takes a limited amount of memory. */
public class ResponseBufferingTest {
  private static final int PART_BYTES = 65_536;
  private static final int BUDGET_BYTES = 2 * ResponseBuffering.MAX_UNDECLARED_BYTES;

  private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
  private final ResponseBuffering buffering = new ResponseBuffering(budget);

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
    buffering
        .bufferIfSmall(response(endless))
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
    Response buffered = buffering.bufferIfSmall(response(parts().take(3))).block();
    assertEquals(buffered.headers().get("content-length"), String.valueOf(3 * PART_BYTES));
  }

  /** Faulty targets sent bytes without end to many calls at once, and the memory ran out. */
  @Test
  public void endlessBodiesTogetherStayWithinTheBudget() {
    List<Sinks.Many<ByteBuf>> bodies = new ArrayList<>();
    AtomicLong failures = new AtomicLong();
    for (int i = 0; i < 100; i++) {
      Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
      bodies.add(body);
      buffering
          .bufferIfSmall(response(body.asFlux()))
          .subscribe(done -> {}, error -> failures.incrementAndGet());
    }
    for (int part = 0; part < 2 * ResponseBuffering.MAX_UNDECLARED_BYTES / PART_BYTES; part++) {
      for (Sinks.Many<ByteBuf> body : bodies) {
        body.tryEmitNext(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
        assertTrue(budget.heldBytes() <= BUDGET_BYTES);
      }
    }
    assertEquals(failures.get(), bodies.size());
    assertEquals(budget.heldBytes(), 0);
  }

  /** The bytes are dropped at once; the call that they belong to fails with the next part. */
  @Test
  public void smallResponseIsServedWhileEndlessOnesTakeTheBudget() {
    List<Throwable> failures = new ArrayList<>();
    List<Sinks.Many<ByteBuf>> bodies = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
      bodies.add(body);
      buffering.bufferIfSmall(response(body.asFlux())).subscribe(done -> {}, failures::add);
      for (int part = 1; part < ResponseBuffering.MAX_UNDECLARED_BYTES / PART_BYTES; part++) {
        body.tryEmitNext(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
      }
    }
    Response small = buffering.bufferIfSmall(response(parts().take(3))).block();
    assertEquals(small.headers().get("content-length"), String.valueOf(3 * PART_BYTES));
    assertTrue(budget.heldBytes() < ResponseBuffering.MAX_UNDECLARED_BYTES);
    assertEquals(failures, List.of());
    bodies.forEach(body -> body.tryEmitNext(Unpooled.wrappedBuffer(new byte[PART_BYTES])));
    assertEquals(failures.size(), 1);
    assertEquals(failures.getFirst().getClass(), MemoryBudgetException.class);
  }

  @Test
  public void smallPartsTakeLittleMoreMemoryThanTheirBytes() {
    Flux<ByteBuf> bytes =
        Flux.<ByteBuf>generate(sink -> sink.next(Unpooled.wrappedBuffer(new byte[] {7})))
            .take(10_000);
    AtomicLong maxHeld = new AtomicLong();
    Response buffered =
        buffering
            .bufferIfSmall(
                response(
                    bytes.doOnNext(
                        part -> maxHeld.accumulateAndGet(budget.heldBytes(), Math::max))))
            .block();
    assertTrue(maxHeld.get() < 20_000);
    assertEquals(bytesOf(buffered), 10_000);
    assertEquals(bytesOf(buffered), 10_000);
  }

  private static long bytesOf(Response response) {
    return response
        .body()
        .map(
            part -> {
              long bytes = part.readableBytes();
              part.release();
              return bytes;
            })
        .reduce(0L, Long::sum)
        .block();
  }
}
