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
 * call can go elsewhere. The rest follows after that, once; when any of it has been asked for, the
 * body cannot be sent again. Thread-safe.
 */
public final class CallBody {
  private final byte[] start;
  private final Optional<BodyReader> rest;
  private final Sinks.Empty<Void> taken = Sinks.empty();

  CallBody(byte[] start, Optional<BodyReader> rest) {
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

  /** Tells whether no part of the body is used up, so that the call can go to another pool. */
  public boolean canMove() {
    return rest.isEmpty() || !rest.get().used();
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

  /**
   * Returns the bytes to send, without copying those in memory.
   *
   * @return the bytes; {@link org.radishpost.errors.RequestBodyException} instead of the rest when
   *     that was asked for before
   */
  public Flux<ByteBuf> stream() {
    Mono<ByteBuf> first = Mono.fromSupplier(() -> Unpooled.wrappedBuffer(start));
    if (rest.isEmpty()) {
      return start.length == 0 ? Flux.empty() : first.flux();
    }
    return first.concatWith(taken.asMono().thenMany(rest.get().remaining()));
  }

  /** Stops reading if nobody has asked for the rest. */
  public void drop() {
    rest.ifPresent(BodyReader::cancelUnused);
  }

  /** Reads the first part of a body, up to the first bytes beyond the bound. */
  static Mono<CallBody> read(Flux<ByteBuf> source, int startBytes) {
    return BodyReader.read(source, startBytes);
  }

  static byte[] copy(ByteBuf buffer) {
    return ByteBufUtil.getBytes(buffer);
  }
}
