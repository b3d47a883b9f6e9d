/** KV cache blocks: their keys, seals, placement on store VMs and transfer. */
@NullMarked
package org.cowslipyoke.blocks;

import org.jspecify.annotations.NullMarked;
