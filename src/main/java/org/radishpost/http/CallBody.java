package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.radishpost.lib.Digest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The body of a request: a first part kept in memory, and the rest read while it is sent.
 *
 * <p>Until {@link #take()} is called only the first part is sent, as often as wanted, so that the
 * call can go elsewhere. The rest follows after that, once.
 */
public final class CallBody {
  private final byte[] start;
  private final Optional<Flux<ByteBuf>> rest;
  private final Sinks.Empty<Void> taken = Sinks.empty();

  CallBody(byte[] start, Optional<Flux<ByteBuf>> rest) {
    this.start = start;
    this.rest = rest;
  }

  /** Returns a body that is wholly in memory. */
  public static CallBody whole(byte[] bytes) {
    return new CallBody(bytes, Optional.empty());
  }

  /** Tells whether all of the body is in memory, so that it can be sent again. */
  public boolean isWhole() {
    return rest.isEmpty();
  }

  /** Tells whether there are no bytes at all. */
  public boolean empty() {
    return start.length == 0 && rest.isEmpty();
  }

  /** Returns the digest of the body when all of it is in memory. */
  public Optional<Digest> digest() {
    return isWhole() ? Optional.of(Digest.of(start)) : Optional.empty();
  }

  /** Lets the rest of the body follow: a target has the call. */
  public void take() {
    taken.tryEmitEmpty();
  }

  /** Returns the bytes to send, without copying those in memory. */
  public Flux<ByteBuf> stream() {
    Mono<ByteBuf> first = Mono.fromSupplier(() -> Unpooled.wrappedBuffer(start));
    if (rest.isEmpty()) {
      return start.length == 0 ? Flux.empty() : first.flux();
    }
    return first.concatWith(taken.asMono().thenMany(rest.get()));
  }

  /** Stops reading: nobody wants the rest. */
  public void drop() {
    if (rest.isPresent() && taken.tryEmitEmpty() == Sinks.EmitResult.OK) {
      rest.get().take(0).subscribe();
    }
  }

  /** Reads the first part of a body. */
  static Mono<CallBody> read(Flux<ByteBuf> source, int startBytes) {
    return BodyReader.read(source, startBytes);
  }

  static byte[] copy(ByteBuf buffer) {
    return ByteBufUtil.getBytes(buffer);
  }
}
