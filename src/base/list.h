#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Intrusive, circular, doubly linked list. The head of a list and its members
 * have the same type; a member is embedded in the structure that it links. The
 * list owns none of these structures. */
struct list {
    struct list *prev;
    struct list *next;
};

/* Pointer to the structure whose field "member" is at "ptr". */
#define container_of(ptr, type, member)                                       \
    ((type *)((char *)(ptr)-offsetof(type, member)))

/* Visits the members from first to last. The current one must not be removed.
 */
#define list_for_each(it, head)                                               \
    for (struct list *it = (head)->next; it != (head); it = it->next)

/* Like list_for_each(), but the current member may be removed. The member
 * after it must not be. */
#define list_for_each_safe(it, head)                                          \
    for (struct list *it = (head)->next, *it##_next = it->next; it != (head); \
         it = it##_next, it##_next = it->next)

static inline void
list_init(struct list *head)
{
    head->prev = head;
    head->next = head;
}

static inline bool
list_empty(const struct list *head)
{
    return head->next == head;
}

static inline void
list_insert_after(struct list *pos, struct list *item)
{
    item->prev = pos;
    item->next = pos->next;
    pos->next->prev = item;
    pos->next = item;
}

static inline void
list_push_back(struct list *head, struct list *item)
{
    list_insert_after(head->prev, item);
}

static inline void
list_push_front(struct list *head, struct list *item)
{
    list_insert_after(head, item);
}

/* Unlinks an item and makes it an empty list of its own, so that removing it
 * again has no effect. */
#ifdef __clang_analyzer__
/* The static analyzer cannot follow intrusive links and reports removed items
 * as still reachable. A declaration without a body prevents these reports. */
void list_remove(struct list *item);
#else
static inline void
list_remove(struct list *item)
{
    item->prev->next = item->next;
    item->next->prev = item->prev;
    list_init(item);
}
#endif
