#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Intrusive doubly linked list. A list head and its members are the same
 * type; a member lives inside the structure that it links. */
struct list {
    struct list *prev;
    struct list *next;
};

#define container_of(ptr, type, member)                                       \
    ((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each(it, head)                                               \
    for (struct list *it = (head)->next; it != (head); it = it->next)

/* Like list_for_each(), but the current member may be removed. */
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

/* Unlinks an item and leaves it as an empty list, so that removing it twice
 * is harmless. */
#ifdef __clang_analyzer__
/* The static analyzer loses track of intrusive links and takes a removed item
 * for one that is still reached; without the body it assumes nothing. */
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
