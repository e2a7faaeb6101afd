package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;

/**
 * The bytes of a body in memory. They are kept in blocks, so that they need not be copied when the
 * body grows, and so that many small parts take little more memory than their bytes. Confined to
 * one thread.
 */
public final class BodyBytes {
  private static final int MIN_NEXT_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 65_536;

  private final ByteBudget.Holder holder;
  private final List<ByteBuf> blocks = new ArrayList<>();
  private int size;
  private int cost;
  private boolean dropped;

  /** Creates bytes of which there are none yet, and which are dropped if the budget is exceeded. */
  BodyBytes(ByteBudget budget) {
    this.holder = budget.open(this::drop);
  }

  private void drop() {
    dropped = true;
    blocks.clear();
  }

  /** Returns whether the bytes were dropped because the budget was exceeded. */
  boolean isDropped() {
    return dropped;
  }

  /** Gives the bytes back to the budget; they remain in memory until they are no longer used. */
  void release() {
    holder.close();
  }

  /** Returns the number of bytes. */
  public int size() {
    return size;
  }

  /** Returns what the parts count against a limit, in bytes. */
  int cost() {
    return cost;
  }

  /** Copies a part to the end. */
  void append(ByteBuf part) {
    cost += PartCost.of(part);
    size += part.readableBytes();
    if (!blocks.isEmpty()) {
      ByteBuf last = blocks.getLast();
      last.writeBytes(part, Math.min(last.writableBytes(), part.readableBytes()));
    }
    if (part.isReadable()) {
      addBlock(part);
    }
  }

  private void addBlock(ByteBuf part) {
    int nextBytes = blocks.isEmpty() ? 0 : Math.clamp(size, MIN_NEXT_BLOCK_BYTES, MAX_BLOCK_BYTES);
    int blockBytes = Math.max(part.readableBytes(), nextBytes);
    holder.add(blockBytes);
    if (dropped) {
      return;
    }
    ByteBuf block = Unpooled.buffer(blockBytes, blockBytes);
    block.writeBytes(part);
    blocks.add(block);
  }

  /** Returns the bytes as one array. */
  public byte[] toArray() {
    byte[] bytes = new byte[size];
    int position = 0;
    for (ByteBuf block : blocks) {
      int length = block.readableBytes();
      block.getBytes(block.readerIndex(), bytes, position, length);
      position += length;
    }
    return bytes;
  }

  /** Returns the bytes without copying them. */
  Flux<ByteBuf> toFlux() {
    return Flux.fromIterable(List.copyOf(blocks)).map(ByteBuf::retainedDuplicate);
  }
}
